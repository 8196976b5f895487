// Provides main() of each test program. CMake sets the name of the test module to the library's.
#define BOOST_TEST_MODULE CACTUSDECK_TEST_NAME

#include <boost/test/unit_test.hpp>
