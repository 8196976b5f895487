#ifndef CACTUSDECK_NODE_DATASOCKET_H
#define CACTUSDECK_NODE_DATASOCKET_H

#include <cstdint>
#include <memory>
#include <span>

#include "core/error.h"
#include "core/types.h"

// A non-blocking UDP socket that receives and sends datagrams in batches (recvmmsg, sendmmsg). Its
// buffers are allocated once.
//
//     BOOST_LEAF_AUTO(socket, DataSocket::bind(endpoint));
//     const std::size_t count = socket.receive();
//     for (std::size_t i = 0; i < count; ++i)
//         socket.queue(to, header, socket.datagram(i).bytes, PacketLifetime::Stable);
//     socket.flush();                 // before the next receive
//
// A packet in the receive buffers of any DataSocket of this thread is queued as Stable, provided
// that the send batch is flushed before the buffers are filled again.

namespace cactusdeck {

inline constexpr std::size_t batchSize = 64; // datagrams
// Fits a jumbo frame of 9,000 bytes plus the largest frame header. Longer datagrams are received
// truncated, with Datagram::truncated set.
inline constexpr std::size_t datagramCapacity = 9216; // bytes

struct Datagram
{
    std::span<const std::uint8_t> bytes;
    Endpoint from;
    bool truncated = false;
};

// Stable: the packet stays valid and unchanged until flush, so it is not copied.
// Temporary: the packet is copied when it is queued. Headers are always copied.
enum class PacketLifetime : std::uint8_t { Stable, Temporary };

class DataSocket
{
public:
    // Port 0 lets the system choose a free port. Errors are of kind Io and name the endpoint.
    static Result<DataSocket> bind(Endpoint endpoint);
    ~DataSocket();
    DataSocket(DataSocket &&) noexcept;
    DataSocket &operator=(DataSocket &&) noexcept;

    int descriptor() const;
    Endpoint local() const;

    // Receives up to batchSize datagrams without waiting and returns their number. They stay valid
    // until the next call.
    std::size_t receive();
    Datagram datagram(std::size_t index) const;
    // True if the bytes lie in this socket's receive buffers.
    bool isInReceiveBuffers(std::span<const std::uint8_t> bytes) const;

    // Adds one datagram, which consists of the header and the packet, to the send batch. Sends the
    // batch if it is full.
    void queue(Endpoint to, std::span<const std::uint8_t> header,
               std::span<const std::uint8_t> packet, PacketLifetime lifetime);
    // Sends the batch.
    void flush();

    struct Counts
    {
        std::uint64_t sent = 0;
        std::uint64_t dropped = 0; // send buffer full, datagram too long, or other send error
    };
    // Returns the counts since the last call and resets them.
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
