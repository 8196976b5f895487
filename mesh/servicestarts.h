#ifndef CACTUSDECK_MESH_SERVICESTARTS_H
#define CACTUSDECK_MESH_SERVICESTARTS_H

#include <cstdint>
#include <deque>
#include <optional>

#include "core/types.h"

// Tells when a server began to process each of its requests. A server takes requests in order of
// arrival, one in each of its slots, so the next one begins when another one ends. The time from
// there to the answer is free of queueing, whatever the server's load.
//
//     const std::uint64_t request = starts.onRequest(slots, now);
//     if (const auto serviceTime = starts.onAnswer(request, slots, now)) ...

namespace cactusdeck::mesh {

class ServiceStarts
{
public:
    // Returns a number for the request.
    std::uint64_t onRequest(std::uint32_t slots, TimePoint now)
    {
        this->requests.push_back({ .number = ++this->lastNumber });
        this->startNext(slots, now);
        return this->lastNumber;
    }
    // Returns the time that the server took, or nullopt if the request is not in progress.
    std::optional<Duration> onAnswer(std::uint64_t number, std::uint32_t slots, TimePoint now)
    {
        const auto request = this->find(number);
        if (request == this->requests.end())
            return std::nullopt;
        // There is no sample if the server has taken its requests in another order.
        std::optional<Duration> serviceTime;
        if (request->startedAt)
            serviceTime = now - *request->startedAt;
        this->requests.erase(request);
        this->startNext(slots, now);
        return serviceTime;
    }
    // The request's caller has given up, or its flow has ended.
    void onAbandoned(std::uint64_t number, std::uint32_t slots, TimePoint now)
    {
        this->onAnswer(number, slots, now);
    }
    // For a new run of the server.
    void clear() { this->requests.clear(); }

private:
    struct Request
    {
        std::uint64_t number = 0;
        std::optional<TimePoint> startedAt; // unset while the request waits in the server's queue
    };

    std::deque<Request>::iterator find(std::uint64_t number)
    {
        auto it = this->requests.begin();
        while (it != this->requests.end() && it->number != number)
            ++it;
        return it;
    }

    void startNext(std::uint32_t slots, TimePoint now)
    {
        for (std::size_t i = 0; i < slots && i < this->requests.size(); ++i) {
            if (!this->requests[i].startedAt)
                this->requests[i].startedAt = now;
        }
    }

    std::deque<Request> requests; // in order of arrival
    std::uint64_t lastNumber = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVICESTARTS_H
