#ifndef CACTUSDECK_CORE_EVENTFORMAT_H
#define CACTUSDECK_CORE_EVENTFORMAT_H

#include <string>

#include "core/outbox.h"

namespace cactusdeck {

// The text of a log line: "event=<name> key=value ...". Values that are empty or contain spaces,
// quotes, backslashes, control characters or '=' are quoted. In them quotes, backslashes and line
// feeds are escaped by a backslash, and other control characters are replaced by '?'.
std::string formatEvent(const Event &event);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_EVENTFORMAT_H
