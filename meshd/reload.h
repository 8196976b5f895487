#ifndef CACTUSDECK_MESHD_RELOAD_H
#define CACTUSDECK_MESHD_RELOAD_H

#include <string>
#include <vector>

#include "mesh/sink.h"
#include "meshd/settings.h"

namespace cactusdeck::meshd {

// Reads the settings file again and returns its seeds, the only setting that a running daemon can
// change. If the file is invalid or its id or mesh endpoint differs from the running settings, logs
// the reason and returns no seeds.
std::vector<Endpoint> reloadSeeds(NodeRole role, const std::string &file, const Settings &running,
                                  mesh::Sink &sink);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_RELOAD_H
