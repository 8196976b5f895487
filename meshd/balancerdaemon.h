#ifndef CACTUSDECK_MESHD_BALANCERDAEMON_H
#define CACTUSDECK_MESHD_BALANCERDAEMON_H

#include <string>

#include "meshd/settings.h"

namespace cactusdeck::meshd {

// Runs a balancer until SIGTERM or SIGINT. SIGHUP reloads the seeds from the settings file.
Result<void> runBalancer(const Settings &settings, const std::string &file);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_BALANCERDAEMON_H
