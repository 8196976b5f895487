#ifndef CACTUSDECK_STANDIN_COMMANDS_H
#define CACTUSDECK_STANDIN_COMMANDS_H

#include <string>
#include <vector>

#include "core/error.h"
#include "standin/backendserver.h"

// The sub-commands of cactusdeck-standin. Servers run until SIGTERM or SIGINT.

namespace cactusdeck {

Result<void> runStore(Endpoint listen);

Result<void> runServer(Endpoint data, Endpoint health, const BackendOptions &options);

// Prints the report when all callers have ended.
Result<void> runFabric(Endpoint listen, const std::string &scenarioFile);

// Prints the answer's body.
Result<void> runCall(const std::string &method, Endpoint endpoint, const std::string &path,
                     const std::string &body);

struct WaitOptions
{
    Endpoint endpoint;
    std::string path;
    std::string field; // number in the answer; empty: any answer will do
    double atLeast = 1;
    std::chrono::milliseconds timeout{ 15000 };
};

// Returns when the endpoint answers and the field has the value.
Result<void> runWait(const WaitOptions &options);

// Prints by how many milliseconds the last packet of any of the servers came after a time since
// the epoch, 0 if none did.
Result<void> runLastPacket(const std::vector<Endpoint> &servers, std::int64_t since);

struct VerdictOptions
{
    std::string reportFile;
    long afterZoneOut = 0; // milliseconds
    std::uint64_t minFlows = 1;
};

// Prints the report in words and the result line. The result is whether the run was faultless.
Result<bool> runVerdict(const VerdictOptions &options);

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_COMMANDS_H
