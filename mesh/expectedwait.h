#ifndef CACTUSDECK_MESH_EXPECTEDWAIT_H
#define CACTUSDECK_MESH_EXPECTEDWAIT_H

#include <cstdint>

#include "core/types.h"

// The time that a request of a new flow is expected to take at a backend server, with the cost of
// leaving the caller's failure domain in the same unit.
//
//     const Duration cost = expectedCost({ .slots = 5, .flows = 12, ... });

namespace cactusdeck::mesh {

struct ServerEstimate
{
    std::uint32_t slots = 1;
    // Of the server: flows it holds or is about to get, and what is known of its requests.
    double flows = 0;
    double requestsInProgress = 0;
    Duration serviceTime{};
    // Of the service: requests a second that one flow brings.
    double requestsPerFlow = 0;
    bool isOtherZone = false;
    double responseBytes = 0;
    // What a kilobyte that leaves the failure domain weighs.
    Duration costPerKilobyte{};
};

// Requests that the server is expected to work on or hold, the new flow's included.
double expectedLoad(const ServerEstimate &estimate);

// Service time, plus the mean wait of a queue with several servers (Sakasegawa's approximation of
// M/M/c), plus the cost of the response's bytes between failure domains.
Duration expectedCost(const ServerEstimate &estimate);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_EXPECTEDWAIT_H
