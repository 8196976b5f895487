#ifndef CACTUSDECK_MESHD_METRICSTEXT_H
#define CACTUSDECK_MESHD_METRICSTEXT_H

#include <string>

#include "core/types.h"
#include "mesh/agent.h"
#include "mesh/balancer.h"
#include "meshd/logwriter.h"

// Formats counters, gauges and histograms as text, one "cactusdeck_<name> <value>" per line.
// docs/OPERATIONS.md lists them.

namespace cactusdeck::meshd {

std::string metricsText(const mesh::Balancer &balancer, const LogWriter &log, TimePoint now);
std::string metricsText(const mesh::Agent &agent, const LogWriter &log, TimePoint now);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_METRICSTEXT_H
