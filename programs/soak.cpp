#include "soak/program.h"

int main(int argc, char **argv)
{
    return cactusdeck::soak::runSoakProgram(argc, argv);
}
