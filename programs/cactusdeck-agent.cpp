#include "node/agentdaemon.h"

int main(int argc, char **argv)
{
    return cactusdeck::runAgentDaemon(argc, argv);
}
