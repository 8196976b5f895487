#ifndef CACTUSDECK_STANDIN_COMMANDS_H
#define CACTUSDECK_STANDIN_COMMANDS_H

#include <string>
#include <vector>

#include "core/error.h"
#include "standin/backendserver.h"

// The subcommands of cactusdeck-standin. runStore, runServer and runFabric serve until SIGTERM or
// SIGINT.

namespace cactusdeck {

Result<void> runStore(Endpoint listen);

Result<void> runServer(Endpoint data, Endpoint health, const BackendOptions &options);

// Also stops when the traffic has been ended by POST /finish and its callers have closed. Prints
// the report.
Result<void> runFabric(Endpoint listen, const std::string &scenarioFile);

// Sends one HTTP request and prints the body of the response.
Result<void> runCall(const std::string &method, Endpoint endpoint, const std::string &path,
                     const std::string &body);

struct WaitOptions
{
    Endpoint endpoint;
    std::string path;
    std::string field; // name of a number in the JSON response; empty: any response suffices
    double atLeast = 1;
    std::chrono::milliseconds timeout{ 15000 };
};

// Polls the endpoint until it answers and the field is at least the given value. Fails after the
// timeout.
Result<void> runWait(const WaitOptions &options);

// Prints how many milliseconds after `since` (milliseconds since the epoch) the last packet reached
// any of the servers, or 0 if no packet arrived after it.
Result<void> runLastPacket(const std::vector<Endpoint> &servers, std::int64_t since);

struct VerdictOptions
{
    std::string reportFile;
    // Milliseconds from the moment a failure domain was taken out to the last packet into it.
    long afterZoneOut = 0;
    std::uint64_t minFlows = 1; // established flows without which the run is not valid
};

// Prints a summary of the report and the result line. Returns true if the run had no faults.
Result<bool> runVerdict(const VerdictOptions &options);

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_COMMANDS_H
