/** @file test_end_to_end.cpp Placeholder replaced below. */
#include <doctest/doctest.h>
