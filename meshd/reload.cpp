#include "meshd/reload.h"

#include "node/outcome.h"

namespace cactusdeck::meshd {

std::vector<Endpoint> reloadSeeds(NodeRole role, const std::string &file, const Settings &running,
                                  mesh::Sink &sink)
{
    const auto settings = outcomeOf([&] { return loadSettings(role, file); });
    if (!settings) {
        sink.log(Level::Error, "reload_refused", { { "reason", settings.error.message } });
        return {};
    }
    if (settings.value->id != running.id || settings.value->mesh != running.mesh) {
        sink.log(Level::Error, "reload_refused",
                 { { "reason", "id or mesh endpoint has changed, which requires a restart" },
                   { "id", settings.value->id.value },
                   { "mesh", toString(settings.value->mesh) } });
        return {};
    }
    sink.log(Level::Info, "reloaded",
             { { "seeds", std::to_string(settings.value->seeds.size()) },
               { "changed", settings.value->seeds == running.seeds ? "nothing" : "seeds" } });
    return settings.value->seeds;
}

} // namespace cactusdeck::meshd
