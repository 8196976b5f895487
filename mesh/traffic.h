#ifndef CACTUSDECK_MESH_TRAFFIC_H
#define CACTUSDECK_MESH_TRAFFIC_H

#include <array>
#include <cstddef>
#include <cstdint>

// Counts what a node sends to other nodes, by kind of message and by whether it crosses failure
// domains, since operators pay for the latter.
//
//     traffic.add(MessageKind::Hello, peers.isHome(to), bytes.size());
//     metrics.add("...", traffic.bytes(MessageKind::Hello, false));

namespace cactusdeck::mesh {

enum class MessageKind : std::uint8_t {
    Hello,
    Report,
    Notice,
    Forward, // packets of callers
    Search, // questions about flows and probes for them
    Reply,
    State, // fetched from peers; the only kind counted by the receiver
};
inline constexpr std::array messageKindNames = { "hello",  "report", "notice", "forward",
                                                 "search", "reply",  "state" };

class Traffic
{
public:
    void add(MessageKind kind, bool isHome, std::size_t size)
    {
        Count &count = this->counts[std::size_t(kind)][isHome ? 0 : 1];
        ++count.messages;
        count.bytes += size;
    }
    std::uint64_t bytes(MessageKind kind, bool isHome) const
    {
        return this->counts[std::size_t(kind)][isHome ? 0 : 1].bytes;
    }
    std::uint64_t messages(MessageKind kind, bool isHome) const
    {
        return this->counts[std::size_t(kind)][isHome ? 0 : 1].messages;
    }

private:
    struct Count
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; // without the heads of lower layers
    };
    std::array<std::array<Count, 2>, messageKindNames.size()> counts{};
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_TRAFFIC_H
