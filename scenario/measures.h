#ifndef CACTUSDECK_SCENARIO_MEASURES_H
#define CACTUSDECK_SCENARIO_MEASURES_H

#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "scenario/statement.h"

// Compares the expectations of a scenario with the measured results of its run.
//
//     Expectation expectation = expectationOf(statement);      // expect in_force <= 2s
//     bool ok = expectation.isMet(measures);
//
// An expectation fails if the run has no measure of that name, so that a misspelt name cannot pass.

namespace cactusdeck::scenario {

// Values by measure name: times in seconds, percentages as fractions of 1.
using Measures = std::map<std::string, double>;

struct Expectation
{
    std::string measure;
    std::string comparison; // "=", "<=" or ">="
    double bound = 0;

    std::optional<double> valueIn(const Measures &measures) const;
    bool isMet(const Measures &measures) const;
};

// Parses an "expect" statement. Throws ScenarioError if it is malformed.
Expectation expectationOf(const Statement &statement);
std::ostream &print(std::ostream &out, const Expectation &expectation, const Measures &measures);

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_MEASURES_H
