#include "core/holdingsindex.h"

#include <memory>

#include <roaring/roaring.h>

namespace cactusdeck {

namespace {

using Bitmap = std::unique_ptr<roaring_bitmap_t, decltype(&roaring_bitmap_free)>;

// Null if the bytes are not a valid bitmap. The bytes come from the network, so the reader that
// checks lengths is used.
Bitmap readBitmap(std::span<const std::uint8_t> bytes)
{
    return { roaring_bitmap_portable_deserialize_safe(reinterpret_cast<const char *>(bytes.data()),
                                                      bytes.size()),
             &roaring_bitmap_free };
}

void addHolder(const Bitmap &bitmap, SlotIndex slot, ServiceRoute &route)
{
    roaring_uint32_iterator_t iterator;
    roaring_init_iterator(bitmap.get(), &iterator);
    while (iterator.has_value && iterator.current_value < bucketCount) {
        if (route.holders.empty())
            route.holders.resize(bucketCount);
        route.holders[iterator.current_value].push_back(slot);
        roaring_advance_uint32_iterator(&iterator);
    }
}

} // namespace

void indexHoldings(const ServiceReports &reports, const AgentRegistry &registry,
                   ServiceRoute &route)
{
    route.holders.clear();
    route.unconfirmed.clear();
    for (const SlotIndex slot : route.serviceAgents) {
        const auto it = reports.find(registry.at(slot).id);
        const HoldingsReport *report = it == reports.end() ? nullptr : &it->second;
        const Bitmap bitmap = report == nullptr ? Bitmap(nullptr, &roaring_bitmap_free)
                                                : readBitmap(report->buckets);
        if (bitmap)
            addHolder(bitmap, slot, route);
        if (!bitmap || report->digest != route.table.digest())
            route.unconfirmed.push_back(slot);
    }
}

} // namespace cactusdeck
