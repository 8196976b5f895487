// The main of every test program; CMake gives it the library's name.
#define BOOST_TEST_MODULE CACTUSDECK_TEST_NAME

#include <boost/test/unit_test.hpp>
