#include <cstdlib>
#include <iostream>

#include "node/operator.h"

int main(int argc, char **argv)
{
    const auto environment = [](const char *name) {
        const char *value = std::getenv(name);
        return std::string(value ? value : "");
    };
    return cactusdeck::runOperator({ argv + 1, argv + argc }, environment, std::cout, std::cerr);
}
