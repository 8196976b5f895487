#ifndef CACTUSDECK_CORE_EVENTFORMAT_H
#define CACTUSDECK_CORE_EVENTFORMAT_H

#include <string>

#include "core/outbox.h"

namespace cactusdeck {

// The text of a log line: "event=<name> key=value ...". Values with spaces, quotes, control
// characters, '=' or no character at all are quoted, with backslash escapes.
std::string formatEvent(const Event &event);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_EVENTFORMAT_H
