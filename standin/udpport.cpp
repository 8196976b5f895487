#include "standin/udpport.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactusdeck {

namespace {

// Large enough that a burst of several hundred answers does not overflow the socket buffer.
constexpr int bufferBytes = 4 << 20;
constexpr std::size_t maxDatagram = 65536;

sockaddr_in addressOf(Endpoint endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

} // namespace

Result<UdpPort> UdpPort::open(Endpoint endpoint)
{
    UdpPort port(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = addressOf(endpoint);
    setsockopt(port.fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
    setsockopt(port.fd, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
    if (port.fd < 0
        || bind(port.fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return fail(ErrorKind::Io,
                    "cannot bind " + toString(endpoint) + ": " + std::strerror(errno));
    return port;
}

UdpPort::UdpPort(UdpPort &&other) noexcept
    : fd(std::exchange(other.fd, -1))
{ }

UdpPort::~UdpPort()
{
    if (this->fd >= 0)
        close(this->fd);
}

void UdpPort::wait(std::chrono::milliseconds time) const
{
    pollfd entry{ .fd = this->fd, .events = POLLIN, .revents = 0 };
    poll(&entry, 1, int(time.count()));
}

void UdpPort::receiveAll(const Handler &handler) const
{
    std::array<std::uint8_t, maxDatagram> buffer;
    sockaddr_in from{};
    for (;;) {
        socklen_t size = sizeof from;
        const ssize_t bytes = recvfrom(this->fd, buffer.data(), buffer.size(), 0,
                                       reinterpret_cast<sockaddr *>(&from), &size);
        if (bytes < 0)
            return;
        handler(std::span(buffer).first(std::size_t(bytes)),
                { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
    }
}

void UdpPort::send(PacketSends &sends) const
{
    for (const PacketSend &entry : sends) {
        const sockaddr_in address = addressOf(entry.to);
        sendto(this->fd, entry.packet.data(), entry.packet.size(), 0,
               reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }
    sends.clear();
}

} // namespace cactusdeck
