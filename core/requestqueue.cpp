#include "core/requestqueue.h"

#include <algorithm>

namespace cactusdeck {

bool RequestQueue::push(const PacketView &view, TimePoint deadline)
{
    const std::size_t size = view.bytes.size();
    auto found = this->entries.find(view.key);
    if (this->bytes + size > maxBytes)
        return false;
    if (found == this->entries.end()) {
        if (this->entries.size() >= maxFlows)
            return false;
        found = this->entries.emplace(view.key, Entry{}).first;
        found->second.number = ++this->lastNumber;
        found->second.deadline = deadline;
        this->order.push_back({ view.key, this->lastNumber });
    }
    Entry &entry = found->second;
    const bool isTcp = view.key.protocol == Protocol::Tcp;
    if (isTcp
        && std::find(entry.sequences.begin(), entry.sequences.end(), view.sequence)
                   != entry.sequences.end())
        return true;
    if (entry.bytes + size > maxBytesPerFlow)
        return false;
    entry.sequences.push_back(view.sequence);
    entry.packets.emplace_back(view.bytes.begin(), view.bytes.end());
    entry.bytes += size;
    this->bytes += size;
    return true;
}

const FlowKey *RequestQueue::front()
{
    while (!this->order.empty()) {
        const QueuePosition &position = this->order.front();
        const auto found = this->entries.find(position.key);
        if (found != this->entries.end() && found->second.number == position.number)
            return &position.key;
        this->order.pop_front();
    }
    return nullptr;
}

std::vector<std::vector<std::uint8_t>> RequestQueue::take(const FlowKey &key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return {};
    std::vector<std::vector<std::uint8_t>> packets = std::move(found->second.packets);
    this->bytes -= found->second.bytes;
    this->entries.erase(found);
    return packets;
}

void RequestQueue::drop(const FlowKey &key)
{
    this->take(key);
}

void RequestQueue::expire(TimePoint now, const std::function<void(const FlowKey &)> &onExpired)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        if (now < entry->second.deadline) {
            ++entry;
            continue;
        }
        onExpired(entry->first);
        this->bytes -= entry->second.bytes;
        entry = this->entries.erase(entry);
    }
}

void RequestQueue::clear()
{
    this->entries.clear();
    this->order.clear();
    this->bytes = 0;
}

} // namespace cactusdeck
