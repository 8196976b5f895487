#ifndef CACTUSDECK_MESH_EXPECTEDWAIT_H
#define CACTUSDECK_MESH_EXPECTEDWAIT_H

#include <cstdint>

#include "core/types.h"

// Estimates how long a request of a new flow will take at a backend server. The cost of sending the
// response across failure domains is added as time, so that servers can be compared by one number.
//
//     const Duration cost = expectedCost({ .slots = 5, .flows = 12, ... });

namespace cactusdeck::mesh {

struct ServerEstimate
{
    std::uint32_t slots = 1;
    // Of the server: flows that it has or is about to get, and what is known about its requests.
    double flows = 0;
    double requestsInProgress = 0;
    Duration serviceTime{};
    // Of the service: mean requests per second of one flow.
    double requestsPerFlow = 0;
    bool isOtherZone = false;
    double responseBytes = 0;
    // Cost of a kilobyte sent to another failure domain, expressed as time.
    Duration costPerKilobyte{};
};

// What is known about one server where the costs of requests are known by route.
struct ScheduledServer
{
    std::uint32_t slots = 1;
    double load = 0; // slots that its flows use in the mean, at a server of mean speed
    double requestsInProgress = 0;
    Duration placedWork{}; // first requests of flows that it got since its report
    Duration sinceReport{};
    Duration meanWork{}; // of the service's mean request
    Duration work{}; // of the request to be placed
    double flowLoad = 0; // slots that the new flow uses in the mean
    double slowness = 1; // how much longer the server takes than the mean server
    Duration transfer{}; // cost of sending the response, expressed as time
};

// Service time of the request, plus the mean queueing delay, plus the work that was placed just
// before, plus the transfer.
Duration expectedTime(const ScheduledServer &server);

// Cost of a response sent to another failure domain, expressed as time.
Duration transferCost(Duration costPerKilobyte, double responseBytes);

// Requests that are expected to be processed or queued at the server, including the new flow's.
double expectedLoad(const ServerEstimate &estimate);

// Service time, plus the mean queueing delay (Sakasegawa's approximation for an M/M/c queue), plus
// the cost of sending the response across failure domains.
Duration expectedCost(const ServerEstimate &estimate);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_EXPECTEDWAIT_H
