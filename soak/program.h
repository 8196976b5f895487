#ifndef CACTUSDECK_SOAK_PROGRAM_H
#define CACTUSDECK_SOAK_PROGRAM_H

namespace cactusdeck::soak {

// Runs the command-line program "soak". Returns 0 if every guarantee held, 1 if one was broken, and
// 2 if the soak could not run.
int runSoakProgram(int argc, char **argv);

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_PROGRAM_H
