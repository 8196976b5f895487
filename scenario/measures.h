#ifndef CACTUSDECK_SCENARIO_MEASURES_H
#define CACTUSDECK_SCENARIO_MEASURES_H

#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "scenario/statement.h"

// Expectations of a scenario against what the run gave.
//
//     Expectation expectation = expectationOf(statement);      // expect in_force <= 2s
//     bool ok = expectation.isMet(measures);
//
// A measure that the run didn't give fails, so that a misspelt name can't pass.

namespace cactusdeck::scenario {

// Times in seconds, ratios as shares of 1.
using Measures = std::map<std::string, double>;

struct Expectation
{
    std::string measure;
    std::string comparison; // "=", "<=" or ">="
    double bound = 0;

    std::optional<double> valueIn(const Measures &measures) const;
    bool isMet(const Measures &measures) const;
};

// Throws ScenarioError.
Expectation expectationOf(const Statement &statement);
std::ostream &print(std::ostream &out, const Expectation &expectation, const Measures &measures);

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_MEASURES_H
