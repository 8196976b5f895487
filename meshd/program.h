#ifndef CACTUSDECK_MESHD_PROGRAM_H
#define CACTUSDECK_MESHD_PROGRAM_H

namespace cactusdeck::meshd {

// The whole of cactusdeck-mesh but main. Returns the exit code.
int runProgram(int argc, char **argv);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_PROGRAM_H
