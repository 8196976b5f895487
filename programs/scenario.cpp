#include "scenario/program.h"

int main(int argc, char **argv)
{
    return cactusdeck::scenario::runScenarioProgram(argc, argv);
}
