#ifndef CACTUSDECK_NODE_DATASOCKET_H
#define CACTUSDECK_NODE_DATASOCKET_H

#include <cstdint>
#include <memory>
#include <span>

#include "core/error.h"
#include "core/types.h"

// A non-blocking UDP socket that moves datagrams in batches (recvmmsg, sendmmsg) between buffers
// that are allocated once.
//
//     BOOST_LEAF_AUTO(socket, DataSocket::bind(endpoint));
//     for (std::size_t i = 0; i < socket.receive(); ++i)
//         socket.queue(to, header, socket.datagram(i).bytes);
//     socket.flush();                 // before the next receive
//
// A queued packet that lies in the receive buffers of any DataSocket on this thread must be passed
// as Stable; it is not copied and must stay valid until flush. Other bytes are copied.

namespace cactusdeck {

inline constexpr std::size_t batchSize = 64; // datagrams
// Jumbo frame of 9,000 bytes plus the largest frame header; longer datagrams are truncated and
// reported as such.
inline constexpr std::size_t datagramCapacity = 9216; // bytes

struct Datagram
{
    std::span<const std::uint8_t> bytes;
    Endpoint from;
    bool truncated = false;
};

enum class PacketLifetime : std::uint8_t { Stable, Temporary };

class DataSocket
{
public:
    // Port 0 lets the system choose. Errors are of kind Io and name the endpoint.
    static Result<DataSocket> bind(Endpoint endpoint);
    ~DataSocket();
    DataSocket(DataSocket &&) noexcept;
    DataSocket &operator=(DataSocket &&) noexcept;

    int descriptor() const;
    Endpoint local() const;

    // Receives up to batchSize datagrams without waiting. They stay valid until the next call.
    std::size_t receive();
    Datagram datagram(std::size_t index) const;
    // True if the bytes lie in this socket's receive buffers.
    bool isInReceiveBuffers(std::span<const std::uint8_t> bytes) const;

    // Adds one datagram, header then packet, to the send batch and sends the batch if it is full.
    void queue(Endpoint to, std::span<const std::uint8_t> header,
               std::span<const std::uint8_t> packet, PacketLifetime lifetime);
    void flush();

    struct Counts
    {
        std::uint64_t sent = 0;
        std::uint64_t dropped = 0; // socket buffer full, too long or refused by the system
    };
    // Counts since the last call.
    Counts takeCounts();

private:
    struct Buffers;

    DataSocket(int socket, Endpoint endpoint);

    int socketDescriptor = -1;
    Endpoint endpoint;
    std::unique_ptr<Buffers> buffers;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_DATASOCKET_H
