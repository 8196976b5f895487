#ifndef CACTUSDECK_NODE_OPERATOR_H
#define CACTUSDECK_NODE_OPERATOR_H

#include <iosfwd>
#include <string>
#include <vector>

#include "node/operatorcommand.h"

// The program cactusdeck.
//
// Results go to out and errors to err; with --json an error goes to out too, as {"error": {"kind",
// "message"}}. The exit code is that of the error's kind.

namespace cactusdeck {

int runOperator(const std::vector<std::string> &arguments, const Environment &environment,
                std::ostream &out, std::ostream &err);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATOR_H
