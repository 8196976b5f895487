#ifndef CACTUSDECK_NODE_OPERATOR_H
#define CACTUSDECK_NODE_OPERATOR_H

#include <iosfwd>
#include <string>
#include <vector>

#include "node/operatorcommand.h"

// Implementation of cactusdeck, the command-line program for operators.
//
// Writes results to out and errors to err. With --json an error is also written to out, as
// {"error": {"kind", "message"}}. Returns the exit code: 0, or that of the error's kind.

namespace cactusdeck {

int runOperator(const std::vector<std::string> &arguments, const Environment &environment,
                std::ostream &out, std::ostream &err);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATOR_H
