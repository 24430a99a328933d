/*
 * Entry point that all test programs share: runs a suite of libcheck.
 */
#ifndef TEST_RUN_H
#define TEST_RUN_H

#include <check.h>

/**
 * test_run() - run a suite and free it
 * @suite: the suite; freed
 *
 * The output and other options come from libcheck's environment variables.
 *
 * Return: the exit status of the program, EXIT_FAILURE if a test failed.
 */
int test_run(Suite *suite);

#endif
