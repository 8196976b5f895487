#include "node/balancerdaemon.h"

int main(int argc, char **argv)
{
    return cactusdeck::runBalancerDaemon(argc, argv);
}
