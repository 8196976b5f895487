#ifndef CACTUSDECK_MESHD_AGENTDAEMON_H
#define CACTUSDECK_MESHD_AGENTDAEMON_H

#include <string>

#include "meshd/settings.h"

namespace cactusdeck::meshd {

// Runs an agent until SIGTERM or SIGINT. SIGHUP reloads the seeds from the settings file.
Result<void> runAgent(const Settings &settings, const std::string &file);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_AGENTDAEMON_H
