/*
 * Code that the programs of the stand-ins share: command line and signals.
 */
#ifndef STANDINS_PROGRAM_H
#define STANDINS_PROGRAM_H

#include <glib.h>

/**
 * program_options() - parse the command line
 * @argc: argument of main()
 * @argv: argument of main()
 * @entries: GLib options
 * @summary: purpose of the program, shown by --help
 *
 * If the command line is invalid, prints the error and exits with status 2.
 */
void program_options(
    int *argc, char ***argv, const GOptionEntry *entries, const char *summary);

/** program_block_signals() - block SIGTERM and SIGINT; call before threads
 * start */
void program_block_signals(void);

/** program_wait_for_stop() - wait for SIGTERM or SIGINT */
void program_wait_for_stop(void);

#endif
