#ifndef CACTUSDECK_MESHD_PROGRAM_H
#define CACTUSDECK_MESHD_PROGRAM_H

namespace cactusdeck::meshd {

// Parses the command line of cactusdeck-mesh and runs the command. Returns the exit code.
int runProgram(int argc, char **argv);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_PROGRAM_H
