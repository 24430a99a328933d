/*
 * What the programs of the stand-ins share: waiting for a signal to stop.
 */
#ifndef STANDINS_PROGRAM_H
#define STANDINS_PROGRAM_H

#include <glib.h>

/**
 * program_options() - parse the command line
 * @argc: as given to main
 * @argv: as given to main
 * @entries: GLib options
 * @summary: what the program is for
 *
 * Prints the fault and ends the program with status 2 when it is wrong.
 */
void program_options(
    int *argc, char ***argv, const GOptionEntry *entries, const char *summary);

/** program_block_signals() - call first in main, before threads start */
void program_block_signals(void);

/** program_wait_for_stop() - wait for SIGTERM or SIGINT */
void program_wait_for_stop(void);

#endif
