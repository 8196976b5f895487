#ifndef CACTUSDECK_MESHD_RELOAD_H
#define CACTUSDECK_MESHD_RELOAD_H

#include <string>
#include <vector>

#include "mesh/sink.h"
#include "meshd/settings.h"

namespace cactusdeck::meshd {

// Reads the settings again and returns the seeds, the only part that a running daemon takes. A file
// that can't be used or names another node changes nothing: it is logged and the result is empty.
std::vector<Endpoint> reloadSeeds(NodeRole role, const std::string &file, const Settings &running,
                                  mesh::Sink &sink);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_RELOAD_H
