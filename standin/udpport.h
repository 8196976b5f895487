#ifndef CACTUSDECK_STANDIN_UDPPORT_H
#define CACTUSDECK_STANDIN_UDPPORT_H

#include <cstdint>
#include <functional>
#include <span>

#include "core/error.h"
#include "core/types.h"
#include "standin/backendserver.h"

// A bound, non-blocking UDP socket for the single-threaded packet loops of the stand-ins.
//
//     BOOST_LEAF_AUTO(port, UdpPort::open(endpoint));
//     port.wait(std::chrono::milliseconds(2));
//     port.receiveAll([&](std::span<const std::uint8_t> bytes, Endpoint from) { ... });
//     port.send(sends);

namespace cactusdeck {

class UdpPort
{
public:
    using Handler = std::function<void(std::span<const std::uint8_t>, Endpoint)>;

    static Result<UdpPort> open(Endpoint endpoint);
    UdpPort(UdpPort &&other) noexcept;
    UdpPort &operator=(UdpPort &&) = delete;
    ~UdpPort();

    // Returns when a datagram can be read or the time has passed.
    void wait(std::chrono::milliseconds time) const;
    // Calls the handler for each datagram that can be read without blocking.
    void receiveAll(const Handler &handler) const;
    // Sends all packets and clears the list. A packet that the socket does not accept is dropped,
    // as on a network.
    void send(PacketSends &sends) const;

private:
    explicit UdpPort(int socket)
        : fd(socket)
    { }

    int fd;
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_UDPPORT_H
