/** @file main.cpp Main function of the test programs, from doctest. */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
