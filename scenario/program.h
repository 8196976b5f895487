#ifndef CACTUSDECK_SCENARIO_PROGRAM_H
#define CACTUSDECK_SCENARIO_PROGRAM_H

namespace cactusdeck::scenario {

// Runs the command-line program "scenario". Returns 0 if all expectations are met, 1 if not, and 2
// if the scenario could not be run.
int runScenarioProgram(int argc, char **argv);

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_PROGRAM_H
