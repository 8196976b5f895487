#include "core/requestqueue.h"

#include <algorithm>
#include <tuple>

namespace cactusdeck {

bool RequestQueue::push(const PacketView &view, TimePoint deadline)
{
    Packet packet{ .key = view.key, .bytes = view.bytes };
    if (view.key.protocol == Protocol::Tcp)
        packet.sequence = view.sequence;
    return this->push(packet, { .deadline = deadline });
}

bool RequestQueue::push(const Packet &packet, const Rank &rank)
{
    const std::size_t size = packet.bytes.size();
    auto found = this->entries.find(packet.key);
    if (this->bytes + size > maxBytes)
        return false;
    if (found == this->entries.end()) {
        if (this->entries.size() >= maxFlows)
            return false;
        found = this->entries.emplace(packet.key, Entry{}).first;
        found->second.number = ++this->lastNumber;
        found->second.rank = rank;
    }
    Entry &entry = found->second;
    if (packet.sequence
        && std::find(entry.sequences.begin(), entry.sequences.end(), *packet.sequence)
                   != entry.sequences.end())
        return true;
    if (entry.bytes + size > maxBytesPerFlow)
        return false;
    if (packet.sequence)
        entry.sequences.push_back(*packet.sequence);
    entry.packets.emplace_back(packet.bytes.begin(), packet.bytes.end());
    entry.bytes += size;
    this->bytes += size;
    return true;
}

bool RequestQueue::goesBefore(const Entry &a, const Entry &b, TimePoint now)
{
    const auto orderOf = [now](const Entry &entry) {
        return std::tuple(now > entry.rank.inTimeUntil, entry.rank.priority, entry.rank.inTimeUntil,
                          entry.number);
    };
    return orderOf(a) < orderOf(b);
}

const FlowKey *RequestQueue::front(TimePoint now) const
{
    const bool isOldestNext = (this->taken + 1) % leastShare == 0;
    const auto first = std::min_element(
            this->entries.begin(), this->entries.end(), [&](const auto &a, const auto &b) {
                return isOldestNext ? a.second.number < b.second.number
                                    : goesBefore(a.second, b.second, now);
            });
    return first == this->entries.end() ? nullptr : &first->first;
}

std::vector<std::vector<std::uint8_t>> RequestQueue::take(const FlowKey &key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return {};
    ++this->taken;
    std::vector<std::vector<std::uint8_t>> packets = std::move(found->second.packets);
    this->bytes -= found->second.bytes;
    this->entries.erase(found);
    return packets;
}

void RequestQueue::drop(const FlowKey &key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return;
    this->bytes -= found->second.bytes;
    this->entries.erase(found);
}

void RequestQueue::expire(TimePoint now, const std::function<void(const FlowKey &)> &onExpired)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        if (now < entry->second.rank.deadline) {
            ++entry;
            continue;
        }
        onExpired(entry->first);
        this->bytes -= entry->second.bytes;
        entry = this->entries.erase(entry);
    }
}

TimePoint RequestQueue::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[key, entry] : this->entries)
        next = std::min(next, entry.rank.deadline);
    return next;
}

void RequestQueue::clear()
{
    this->entries.clear();
    this->bytes = 0;
}

} // namespace cactusdeck
