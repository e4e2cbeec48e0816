/** @file main.cpp The doctest runner shared by the test programs. */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
