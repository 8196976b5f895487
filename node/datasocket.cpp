#include "node/datasocket.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactusdeck {

namespace {

// Holds a burst of packets that arrives while the thread handles a timer. Without the privilege for
// SO_RCVBUFFORCE and SO_SNDBUFFORCE the system limits the size.
constexpr int socketBufferBytes = 8 << 20;
constexpr std::size_t headerCapacity = 128; // bytes, at least the largest frame header

sockaddr_in toAddress(Endpoint endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

Endpoint toEndpoint(const sockaddr_in &address)
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

// SO_RCVBUFFORCE and SO_SNDBUFFORCE exceed the system's limit but need a privilege; without it the
// plain options are used.
void enlargeBuffers(int socket)
{
    constexpr int size = socketBufferBytes;
    if (setsockopt(socket, SOL_SOCKET, SO_RCVBUFFORCE, &size, sizeof size) != 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    if (setsockopt(socket, SOL_SOCKET, SO_SNDBUFFORCE, &size, sizeof size) != 0)
        setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
}

} // namespace

struct DataSocket::Buffers
{
    Buffers()
        : receiveBytes(batchSize * datagramCapacity)
        , sendBytes(batchSize * slotSize)
    {
        for (std::size_t i = 0; i < batchSize; ++i) {
            this->receiveVectors[i] = { this->receiveBytes.data() + i * datagramCapacity,
                                        datagramCapacity };
            msghdr &receive = this->receiveMessages[i].msg_hdr;
            receive.msg_iov = &this->receiveVectors[i];
            receive.msg_iovlen = 1;
            receive.msg_name = &this->receiveAddresses[i];
            msghdr &send = this->sendMessages[i].msg_hdr;
            send.msg_iov = this->sendVectors[i].data();
            send.msg_iovlen = 2;
            send.msg_name = &this->sendAddresses[i];
            send.msg_namelen = sizeof(sockaddr_in);
        }
    }

    static constexpr std::size_t slotSize = headerCapacity + datagramCapacity;

    std::vector<std::uint8_t> receiveBytes;
    std::vector<std::uint8_t> sendBytes; // headers and Temporary packets
    std::array<mmsghdr, batchSize> receiveMessages{};
    std::array<iovec, batchSize> receiveVectors{};
    std::array<sockaddr_in, batchSize> receiveAddresses{};
    std::array<mmsghdr, batchSize> sendMessages{};
    std::array<std::array<iovec, 2>, batchSize> sendVectors{};
    std::array<sockaddr_in, batchSize> sendAddresses{};
    std::size_t received = 0;
    std::size_t queued = 0;
    Counts counts;
};

DataSocket::DataSocket(int socket, Endpoint local)
    : socketDescriptor(socket)
    , endpoint(local)
    , buffers(std::make_unique<Buffers>())
{ }

DataSocket::DataSocket(DataSocket &&other) noexcept
    : socketDescriptor(std::exchange(other.socketDescriptor, -1))
    , endpoint(other.endpoint)
    , buffers(std::move(other.buffers))
{ }

DataSocket &DataSocket::operator=(DataSocket &&other) noexcept
{
    std::swap(this->socketDescriptor, other.socketDescriptor);
    std::swap(this->endpoint, other.endpoint);
    std::swap(this->buffers, other.buffers);
    return *this;
}

DataSocket::~DataSocket()
{
    if (this->socketDescriptor >= 0)
        close(this->socketDescriptor);
}

Result<DataSocket> DataSocket::bind(Endpoint endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return fail(ErrorKind::Io, std::string("UDP socket: ") + std::strerror(errno));
    DataSocket result(socket, endpoint);
    sockaddr_in address = toAddress(endpoint);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return fail(ErrorKind::Io, "UDP " + toString(endpoint) + ": " + std::strerror(errno));
    enlargeBuffers(socket);
    socklen_t length = sizeof address;
    if (getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return fail(ErrorKind::Io, "UDP " + toString(endpoint) + ": " + std::strerror(errno));
    result.endpoint = toEndpoint(address);
    return result;
}

int DataSocket::descriptor() const
{
    return this->socketDescriptor;
}

Endpoint DataSocket::local() const
{
    return this->endpoint;
}

std::size_t DataSocket::receive()
{
    Buffers &b = *this->buffers;
    // The previous call overwrote the address length of each message that it filled.
    for (mmsghdr &message : b.receiveMessages)
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    const int count = recvmmsg(this->socketDescriptor, b.receiveMessages.data(), batchSize,
                               MSG_DONTWAIT, nullptr);
    b.received = count > 0 ? std::size_t(count) : 0;
    return b.received;
}

Datagram DataSocket::datagram(std::size_t index) const
{
    const Buffers &b = *this->buffers;
    const mmsghdr &message = b.receiveMessages[index];
    return { .bytes = { b.receiveBytes.data() + index * datagramCapacity, message.msg_len },
             .from = toEndpoint(b.receiveAddresses[index]),
             .truncated = (message.msg_hdr.msg_flags & MSG_TRUNC) != 0 };
}

bool DataSocket::isInReceiveBuffers(std::span<const std::uint8_t> bytes) const
{
    const std::vector<std::uint8_t> &receiveBuffer = this->buffers->receiveBytes;
    return bytes.data() >= receiveBuffer.data()
           && bytes.data() + bytes.size() <= receiveBuffer.data() + receiveBuffer.size();
}

void DataSocket::queue(Endpoint to, std::span<const std::uint8_t> header,
                       std::span<const std::uint8_t> packet, PacketLifetime lifetime)
{
    Buffers &b = *this->buffers;
    if (header.size() > headerCapacity || packet.size() > datagramCapacity) {
        ++b.counts.dropped;
        return;
    }
    std::uint8_t *slot = b.sendBytes.data() + b.queued * Buffers::slotSize;
    if (!header.empty())
        std::memcpy(slot, header.data(), header.size());
    const std::uint8_t *bytes = packet.data();
    if (lifetime == PacketLifetime::Temporary && !packet.empty()) {
        std::memcpy(slot + headerCapacity, packet.data(), packet.size());
        bytes = slot + headerCapacity;
    }
    // iovec has no const variant; sendmmsg does not write to the bytes.
    b.sendVectors[b.queued] = { iovec{ slot, header.size() },
                                iovec{ const_cast<std::uint8_t *>(bytes), packet.size() } };
    b.sendAddresses[b.queued] = toAddress(to);
    if (++b.queued == batchSize)
        this->flush();
}

void DataSocket::flush()
{
    Buffers &b = *this->buffers;
    std::size_t first = 0;
    while (first < b.queued) {
        const int count = sendmmsg(this->socketDescriptor, b.sendMessages.data() + first,
                                   unsigned(b.queued - first), MSG_DONTWAIT);
        if (count > 0) {
            first += std::size_t(count);
            b.counts.sent += std::uint64_t(count);
        } else if (errno != EINTR) {
            // The error belongs to the first message. The message is dropped, as in the network
            // when a queue is full, because waiting would delay all other flows.
            ++first;
            ++b.counts.dropped;
        }
    }
    b.queued = 0;
}

DataSocket::Counts DataSocket::takeCounts()
{
    return std::exchange(this->buffers->counts, {});
}

} // namespace cactusdeck
