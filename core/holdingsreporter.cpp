#include "core/holdingsreporter.h"

#include <roaring/roaring.hh>

namespace cactusdeck {

namespace {

std::vector<std::uint8_t> serialise(const std::vector<Bucket> &buckets)
{
    Roaring bitmap;
    for (const Bucket bucket : buckets)
        bitmap.add(bucket);
    bitmap.runOptimize();
    std::vector<std::uint8_t> bytes(bitmap.getSizeInBytes());
    bitmap.write(reinterpret_cast<char *>(bytes.data()));
    return bytes;
}

} // namespace

void HoldingsReporter::setMembers(ServiceId service, const std::vector<Member> &members)
{
    Service &entry = this->services[service];
    if (entry.table.members() != members)
        entry.table = PlacementTable(members);
}

std::optional<HoldingsReport> HoldingsReporter::update(ServiceId service, const FlowTable &flows)
{
    const auto found = this->services.find(service);
    // Without members the home agents of the buckets are unknown.
    if (found == this->services.end() || found->second.table.members().empty())
        return std::nullopt;
    Service &entry = found->second;
    std::vector<Bucket> buckets;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (flows.countIn(service, Bucket(bucket)) > 0
            && !entry.table.isHome(Bucket(bucket), this->id))
            buckets.push_back(Bucket(bucket));
    }
    if (entry.reportedDigest == entry.table.digest() && buckets == entry.reported)
        return std::nullopt;
    entry.reportedDigest = entry.table.digest();
    entry.reported = buckets;
    return HoldingsReport{ .agent = this->id,
                           .service = service,
                           .digest = entry.table.digest(),
                           .buckets = serialise(buckets) };
}

std::size_t HoldingsReporter::reportedBuckets(ServiceId service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.reported.size();
}

std::vector<Bucket> bucketsOf(const HoldingsReport &report)
{
    try {
        const auto bitmap = Roaring::readSafe(reinterpret_cast<const char *>(report.buckets.data()),
                                              report.buckets.size());
        std::vector<Bucket> buckets;
        for (const std::uint32_t bucket : bitmap) {
            if (bucket < bucketCount)
                buckets.push_back(Bucket(bucket));
        }
        return buckets;
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace cactusdeck
