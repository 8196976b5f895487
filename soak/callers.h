#ifndef CACTUSDECK_SOAK_CALLERS_H
#define CACTUSDECK_SOAK_CALLERS_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "platform/standin/packet.h"
#include "soak/fleet.h"
#include "soak/guarantees.h"
#include "soak/server.h"
#include "standin/udpport.h"

// Simulated callers. They open long flows, which stay open for many requests, and short flows with
// a single request. Each packet goes to the balancer that the fabric selects when it is sent.
//
//     Callers callers({ .host = ..., .routes = routes, ... }, std::move(port), fleet, servers,
//                     guarantees);
//     callers.step(now);       // every millisecond or so

namespace cactusdeck::soak {

using Servers = std::vector<std::unique_ptr<Server>>;

// Whether flows to an address must open, must not open, or may do either.
enum class Expectation : std::uint8_t { Served, Unserved, Either };

struct CallersOptions
{
    std::uint32_t host = 0; // address of all callers
    std::vector<Endpoint> routes; // that stay in force for the whole run
    Endpoint changingRoute; // added and removed during the run
    std::size_t longFlows = 40;
    std::chrono::milliseconds shortInterval{ 40 }; // between the openings of short flows
    std::uint64_t seed = 0;
};

class Callers
{
public:
    Callers(CallersOptions callersOptions, UdpPort socket, const Fleet &nodes,
            const Servers &allServers, GuaranteeChecks &allGuarantees);

    void step(TimePoint now);
    // Share of packets lost in each direction between callers and balancers.
    void setLoss(double share) { this->loss = share; }
    void setChangingRoute(Expectation expected) { this->changingRouteExpectation = expected; }
    // Whether each flow that begins from now on must open.
    void setOpeningsMustSucceed(bool isRequired) { this->mustOpen = isRequired; }
    // Forgets the flows of the changing route, which may end when the route is removed or changed.
    void dropFlowsOfChangingRoute();

    std::uint64_t answered() const { return this->answers; }
    std::uint64_t refused() const { return this->refusals; }
    std::uint64_t unopened() const { return this->openingTimeouts; }
    std::uint64_t lost() const { return this->lostFlows; }

private:
    struct Flow
    {
        FlowKey key;
        bool isLong = false;
        bool mustOpen = false; // opened while each opening has to succeed
        Expectation expected = Expectation::Served;
        bool isOpen = false;
        TimePoint startedAt;
        std::uint32_t openingResends = 0;
        std::uint32_t sent = 0; // sequence number of the caller's next byte
        std::uint32_t received = 0; // sequence number of the server's next byte
        std::uint32_t answerSequence = 0; // of the server's SYN-ACK
        const Server *server = nullptr; // that accepted the flow
        std::string request; // empty if no request is in progress
        TimePoint requestedAt;
        TimePoint resendAt;
        Duration resendAfter{};
        TimePoint nextRequest;
        bool isAffectedByFault = false; // a fault since the request may delay or lose its answer
    };

    static constexpr std::chrono::milliseconds openingLimit{ 1400 };
    static constexpr std::chrono::milliseconds firstResend{ 200 };
    static constexpr std::chrono::milliseconds lastResend{ 1600 };
    static constexpr std::chrono::milliseconds requestInterval{ 400 };
    // Leaves time for resends at 0.2, 0.6, 1.4, 3.0 and 4.6 s; the fabric detects a lost balancer
    // within 1.5 s.
    static constexpr std::chrono::milliseconds answerLimit{ 6000 };

    void open(bool isLong, Endpoint route, TimePoint now);
    void sendOpening(const Flow &flow);
    void sendRequest(Flow &flow, TimePoint now);
    void send(const standin::Packet &packet);
    void onPacket(std::span<const std::uint8_t> bytes, TimePoint now);
    void onReset(Flow &flow, TimePoint now);
    void onOpened(Flow &flow, const standin::Packet &packet, TimePoint now);
    void onAnswer(Flow &flow, const standin::Packet &packet, TimePoint now);
    // Sends what is due on the flow. Returns false if the flow has ended and is to be removed.
    bool advance(Flow &flow, TimePoint now);
    void checkOpening(const Flow &flow, bool hasOpened, TimePoint now);
    // Whether the agent of the flow's server has been up without interruption since the request.
    bool hasAgentStayedUp(const Flow &flow) const;
    Endpoint randomRoute();

    CallersOptions options;
    UdpPort port;
    const Fleet &fleet;
    const Servers &servers;
    GuaranteeChecks &guarantees;
    std::mt19937_64 random;
    std::map<FlowKey, Flow> flows;
    std::uint16_t nextPort = 10000;
    std::uint64_t requests = 0;
    TimePoint nextShort{};
    double loss = 0;
    bool mustOpen = false;
    Expectation changingRouteExpectation = Expectation::Served;
    std::uint64_t answers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t openingTimeouts = 0;
    std::uint64_t lostFlows = 0;
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_CALLERS_H
