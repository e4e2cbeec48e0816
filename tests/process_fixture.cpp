/** @file process_fixture.cpp Placeholder replaced below. */
