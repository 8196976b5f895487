#include "core/eventformat.h"

#include <algorithm>

namespace cactusdeck {

namespace {

bool needsQuotes(const std::string &value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7F;
           });
}

void appendValue(std::string &line, const std::string &value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += { '\\', c };
        else if (c == '\n')
            line += "\\n";
        else if (static_cast<unsigned char>(c) < ' ' || c == 0x7F)
            line += '?';
        else
            line += c;
    }
    line += '"';
}

} // namespace

std::string formatEvent(const Event &event)
{
    std::string line = std::string("event=") + event.name;
    for (const auto &[key, value] : event.fields) {
        line += std::string(" ") + key + "=";
        appendValue(line, value);
    }
    return line;
}

} // namespace cactusdeck
