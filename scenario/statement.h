#ifndef CACTUSDECK_SCENARIO_STATEMENT_H
#define CACTUSDECK_SCENARIO_STATEMENT_H

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

// Parser of the scenario language; docs/scenarios.md has the grammar.
//
//     for (const Statement &statement : parseScenario(text))
//         ...                             // statement.words[0] is the verb
//
// Parsing and the accessors of Statement throw ScenarioError, whose message names the line.

namespace cactusdeck::scenario {

class ScenarioError : public std::runtime_error
{
public:
    ScenarioError(std::size_t line, const std::string &message)
        : std::runtime_error("line " + std::to_string(line) + ": " + message)
    { }
};

enum class Unit : std::uint8_t { Name, Number, Seconds, Percent, PerSecond };

struct Word
{
    std::string text; // the name, or the number without its unit
    Unit unit = Unit::Name;
    double value = 0; // times in seconds, percentages as a fraction of 1
};

struct Statement
{
    std::size_t line = 0;
    std::optional<Duration> at;
    std::vector<Word> words;

    const std::string &verb() const { return this->words.front().text; }
    // The word at a position, as a name, a number or a time; throws if it is missing or of another
    // kind.
    const std::string &name(std::size_t index) const;
    double number(std::size_t index) const;
    Duration time(std::size_t index) const;
    // The value that follows a keyword, or the fallback if the keyword is absent.
    double option(std::string_view keyword, double fallback) const;
    std::string textOption(std::string_view keyword, const std::string &fallback) const;
    Duration timeOption(std::string_view keyword, Duration fallback) const;
    bool has(std::string_view keyword) const;
};

std::vector<Statement> parseScenario(std::string_view text);

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_STATEMENT_H
