#ifndef CACTUSDECK_NODE_SETTINGSSCHEMA_H
#define CACTUSDECK_NODE_SETTINGSSCHEMA_H

#include <string_view>

// The JSON schemas of the settings files, as JSON text.

namespace cactusdeck {

extern const std::string_view balancerSchema;
extern const std::string_view agentSchema;

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_SETTINGSSCHEMA_H
