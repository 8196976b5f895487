#ifndef CACTUSDECK_SOAK_PROGRAM_H
#define CACTUSDECK_SOAK_PROGRAM_H

namespace cactusdeck::soak {

// The command line of the soak; returns its exit code.
int runSoakProgram(int argc, char **argv);

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_PROGRAM_H
