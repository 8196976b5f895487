#include "scenario/measures.h"

namespace cactusdeck::scenario {

std::optional<double> Expectation::valueIn(const Measures &measures) const
{
    const auto found = measures.find(this->measure);
    return found == measures.end() ? std::nullopt : std::optional(found->second);
}

bool Expectation::isMet(const Measures &measures) const
{
    const auto value = this->valueIn(measures);
    if (!value)
        return false;
    if (this->comparison == "<=")
        return *value <= this->bound;
    return this->comparison == ">=" ? *value >= this->bound : *value == this->bound;
}

Expectation expectationOf(const Statement &statement)
{
    const std::string &comparison = statement.name(2);
    if (comparison != "=" && comparison != "<=" && comparison != ">=")
        throw ScenarioError(statement.line, "expected =, <= or >= instead of " + comparison);
    return { .measure = statement.name(1), .comparison = comparison, .bound = statement.number(3) };
}

std::ostream &print(std::ostream &out, const Expectation &expectation, const Measures &measures)
{
    const auto value = expectation.valueIn(measures);
    out << "expect=" << expectation.measure << " value=";
    if (value)
        out << *value;
    else
        out << "none";
    return out << " bound=" << expectation.comparison << expectation.bound
               << " status=" << (expectation.isMet(measures) ? "ok" : "failed") << '\n';
}

} // namespace cactusdeck::scenario
