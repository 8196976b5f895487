#include "meshd/program.h"

int main(int argc, char **argv)
{
    return cactusdeck::meshd::runProgram(argc, argv);
}
