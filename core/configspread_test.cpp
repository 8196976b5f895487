#include "core/configspread.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

#include "core/fakestore_test.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

const TimePoint start{ 1h };

ConfigurationPointer build(ConfigurationVersion version, int slots = 5)
{
    ConfigurationHead head;
    for (ConfigurationVersion v = 1; v <= version; ++v)
        addChange(head, { v, std::to_string(v) + "c", "ann", 1000ms, "change" });
    std::vector<ContractPointer> contracts;
    for (const std::string name : { "a", "b" }) {
        const std::string text =
                contractText(testContract(name, name == "a" ? 1 : 2, name == "a" ? slots : 5));
        const std::string hash = head.services[ServiceName{ name }] = contractHash(text);
        contracts.push_back(parsePublished(text, ServiceName{ name }, hash).value());
    }
    return Configuration::build(head, contracts).value();
}

Endpoint endpoint(int index)
{
    return { 0x7F000001u, std::uint16_t(7000 + index) };
}

// Nodes that exchange control messages over a network with loss and 1 ms delay.
struct Fleet
{
    TimePoint now = start;
    double loss = 0;
    std::mt19937_64 random{ 5 };
    std::map<Endpoint, ConfigurationSpread> nodes;
    std::vector<ControlSend> inFlight;
    std::size_t sent = 0;
    std::size_t bytes = 0;
    Outbox outbox;

    void add(int index, std::optional<GroupName> group = {})
    {
        this->nodes.emplace(endpoint(index),
                            ConfigurationSpread({ .id = NodeId{ std::to_string(index) },
                                                  .replyTo = endpoint(index),
                                                  .group = std::move(group),
                                                  .seed = std::uint64_t(index) }));
    }
    ConfigurationSpread &node(int index) { return this->nodes.at(endpoint(index)); }
    ConfigurationVersion version(int index) { return this->node(index).current()->version(); }

    void collect()
    {
        for (ControlSend &send : std::exchange(this->outbox.control, {})) {
            ++this->sent;
            this->bytes += encodeMessage(send.message).size();
            if (std::uniform_real_distribution<double>()(this->random) >= this->loss)
                this->inFlight.push_back(std::move(send));
        }
        this->outbox.clear();
    }
    void deliver(const ControlSend &send)
    {
        const auto found = this->nodes.find(send.to);
        if (found == this->nodes.end())
            return;
        ConfigurationSpread &spread = found->second;
        if (const auto *notice = std::get_if<ConfigurationNotice>(&send.message))
            spread.onNotice(*notice, this->now, this->outbox);
        else if (const auto *request = std::get_if<ConfigurationRequest>(&send.message))
            spread.onRequest(*request, this->now, this->outbox);
        else if (const auto *delta = std::get_if<ConfigurationDelta>(&send.message))
            spread.onDelta(*delta, this->now, this->outbox);
    }
    void run(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += 1ms) {
            this->collect();
            for (const ControlSend &send : std::exchange(this->inFlight, {}))
                this->deliver(send);
            for (auto &[at, spread] : this->nodes) {
                if ((this->now - start) % 50ms == 0ms)
                    spread.onTimer(this->now, this->outbox);
            }
        }
    }
};

// Creates balancers 0 to count - 1, which have each other as peers and are all at version 1.
Fleet balancers(int count)
{
    Fleet fleet;
    std::vector<Endpoint> all;
    all.reserve(std::size_t(count));
    for (int i = 0; i < count; ++i)
        all.push_back(endpoint(i));
    const ConfigurationPointer first = build(1);
    for (int i = 0; i < count; ++i) {
        fleet.add(i);
        fleet.node(i).adopt(first, start, fleet.outbox);
        fleet.node(i).setPeers(all);
    }
    fleet.outbox.clear();
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configspread)

// Guards against nodes that never get a version because notices, requests or deltas are lost.
BOOST_AUTO_TEST_CASE(versionReachesAllDespiteLoss)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet = balancers(40);
        fleet.random.seed(seed);
        fleet.loss = 0.2;
        for (int agent = 100; agent < 116; ++agent) {
            fleet.add(agent, GroupName{ "a-group" });
            const GroupName group{ "a-group" };
            fleet.node(agent).onDelta(deltaBetween(nullptr, *build(1), group), start, fleet.outbox);
            fleet.node(agent).setPeers({ endpoint(0), endpoint(1) });
        }
        for (const int monitor : { 0, 1 }) {
            std::vector<Endpoint> agents;
            for (int agent = 100; agent < 116; ++agent)
                agents.push_back(endpoint(agent));
            fleet.node(monitor).setNotifiedAgents(agents);
        }
        fleet.outbox.clear();
        fleet.node(3).adopt(build(2, 7), fleet.now, fleet.outbox);
        fleet.run(2s);
        for (const auto &[at, spread] : fleet.nodes)
            BOOST_TEST(spread.current()->version() == 2u, toString(at) << " seed " << seed);
        BOOST_TEST(fleet.node(105).current()->contracts().size() == 1u);
        // The control budget of each node is 4 KB/s.
        BOOST_TEST(fleet.bytes / fleet.nodes.size() < 8000u);
    }
}

// Guards against a node that stays behind because the peer that notified it of a version fails
// before it answers the request.
BOOST_AUTO_TEST_CASE(requestIsRepeatedAtAnotherPeer)
{
    Fleet fleet = balancers(3);
    fleet.node(1).adopt(build(2), fleet.now, fleet.outbox);
    fleet.outbox.clear();
    fleet.node(0).onVersionSeen(2, endpoint(77), fleet.now, fleet.outbox);
    fleet.node(0).onVersionSeen(2, endpoint(77), fleet.now, fleet.outbox);
    BOOST_TEST(fleet.outbox.control.size() == 1u); // each data frame may mention the version
    BOOST_TEST((fleet.outbox.control[0].to == endpoint(77)));
    BOOST_TEST(fleet.node(0).newestSeen() == 2u);
    fleet.run(2s);
    BOOST_TEST(fleet.version(0) == 2u);
    BOOST_TEST((fleet.node(0).staleDuration(fleet.now) == 0s));
}

// Guards against a stale node that reports itself as up to date, and against request storms.
BOOST_AUTO_TEST_CASE(stalenessIsCountedAndRequestsBackOff)
{
    Fleet fleet = balancers(1);
    fleet.node(0).onVersionSeen(2, endpoint(77), fleet.now, fleet.outbox);
    fleet.run(3s);
    fleet.node(0).onVersionSeen(3, endpoint(78), fleet.now, fleet.outbox);
    fleet.run(10s);
    BOOST_TEST((fleet.node(0).staleDuration(fleet.now) == 13s));
    BOOST_TEST(fleet.sent < 20u);
    // After adopting an intermediate version, the staleness counts from when the newer version was
    // first mentioned.
    fleet.node(0).adopt(build(2), fleet.now, fleet.outbox);
    BOOST_TEST((fleet.node(0).staleDuration(fleet.now) == 10s));
    fleet.node(0).adopt(build(3), fleet.now, fleet.outbox);
    BOOST_TEST((fleet.node(0).staleDuration(fleet.now) == 0s));
}

// Guards against an agent that declines flows because it waits for a version that no node has; the
// version number comes from a corrupt frame.
BOOST_AUTO_TEST_CASE(versionThatNobodyHasIsGivenUp)
{
    Fleet fleet = balancers(2);
    fleet.node(0).onVersionSeen(1'000'000, endpoint(1), fleet.now, fleet.outbox);
    BOOST_TEST(fleet.node(0).newestSeen() == 1'000'000u);
    fleet.run(1s);
    BOOST_TEST(fleet.node(0).newestSeen() == 1u); // the source answered that it has no such version
    fleet.node(0).onVersionSeen(1'000'000, {}, fleet.now, fleet.outbox);
    fleet.run(59s);
    BOOST_TEST(fleet.node(0).newestSeen() == 1'000'000u);
    fleet.run(2s);
    BOOST_TEST(fleet.node(0).newestSeen() == 1u);
}

// Guards against a joining node that gets no configuration because the store is down and no change
// causes a notice.
BOOST_AUTO_TEST_CASE(joinerFetchesSnapshotFromPeers)
{
    Fleet fleet = balancers(3);
    fleet.loss = 0.2;
    fleet.add(9);
    fleet.node(9).setPeers({ endpoint(77), endpoint(0), endpoint(2) });
    fleet.run(3s);
    BOOST_TEST(fleet.version(9) == 1u);
    // No notices were sent for a version that all other nodes already had.
    BOOST_TEST(fleet.sent < 30u);
}

// Guards against a late delta that reverts the configuration or mixes two versions.
BOOST_AUTO_TEST_CASE(lateAndDuplicateDeltasAreIgnored)
{
    Fleet fleet = balancers(1);
    ConfigurationSpread &spread = fleet.node(0);
    const auto v1 = build(1);
    const auto v2 = build(2, 6);
    const auto v3 = build(3, 7);
    BOOST_TEST(spread.onDelta(deltaBetween(v1.get(), *v3, {}), fleet.now, fleet.outbox));
    BOOST_TEST(!spread.onDelta(deltaBetween(v1.get(), *v2, {}), fleet.now, fleet.outbox));
    BOOST_TEST(!spread.onDelta(deltaBetween(v1.get(), *v3, {}), fleet.now, fleet.outbox));
    BOOST_TEST(!spread.onDelta(deltaBetween(nullptr, *v2, {}), fleet.now, fleet.outbox));
    BOOST_TEST(spread.current()->version() == 3u);
    BOOST_TEST(spread.current()->find(ServiceName{ "a" })->slots == 7u);
}

// Guards against a node that never gets a newer version because its configuration differs from that
// of its peers under the same version number, so that no delta matches.
BOOST_AUTO_TEST_CASE(deltaThatDoesNotFitIsReplacedBySnapshot)
{
    Fleet fleet = balancers(2);
    fleet.add(9);
    ConfigurationHead head = build(1)->head();
    head.services.clear();
    fleet.node(9).adopt(Configuration::build(head, {}).value(), fleet.now, fleet.outbox);
    fleet.node(9).setPeers({ endpoint(0) });
    fleet.node(0).adopt(build(2, 7), fleet.now, fleet.outbox);
    fleet.node(9).onVersionSeen(2, endpoint(0), fleet.now, fleet.outbox);
    fleet.run(1s);
    BOOST_TEST(fleet.version(9) == 2u);
    BOOST_TEST(fleet.node(9).current()->digest() == build(2, 7)->digest());
}

// Guards against repeated notices to nodes that already have the version.
BOOST_AUTO_TEST_CASE(noticesStopWhenPeersHaveTheVersion)
{
    Fleet fleet = balancers(2);
    fleet.node(0).adopt(build(2), fleet.now, fleet.outbox);
    BOOST_TEST(fleet.outbox.control.size() == 1u);
    fleet.run(10s);
    // Notice, request, delta, and no repeat in either direction.
    BOOST_TEST(fleet.sent == 3u);
}

// Guards against balancers that request a version from agents. An agent has only the services of
// its group and can't answer; at 20% loss, the unanswered requests delayed a version by 2.2 s.
BOOST_AUTO_TEST_CASE(agentsSendNoNotices)
{
    Fleet fleet = balancers(1);
    fleet.add(100, GroupName{ "a-group" });
    ConfigurationSpread &agent = fleet.node(100);
    agent.setPeers({ endpoint(0) });
    const GroupName group{ "a-group" };
    BOOST_TEST(agent.onDelta(deltaBetween(nullptr, *build(1), group), start, fleet.outbox));
    const ConfigurationPointer first = agent.current();
    BOOST_TEST(agent.onDelta(deltaBetween(first.get(), *build(2), group), start, fleet.outbox));
    agent.onTimer(start + 1s, fleet.outbox);
    BOOST_TEST(fleet.outbox.control.empty());
}

BOOST_AUTO_TEST_SUITE_END()
