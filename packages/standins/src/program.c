/*
 * Code that the programs of the stand-ins share.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "standins/program.h"

#define PROGRAM_EXIT_USAGE 2

void
program_options(
    int *argc, char ***argv, const GOptionEntry *entries, const char *summary)
{
	GError *err = NULL;
	GOptionContext *ctx = g_option_context_new(NULL);

	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &err)) {
		(void)fprintf(stderr, "%s; see --help.\n", err->message);
		exit(PROGRAM_EXIT_USAGE);
	}
	g_option_context_free(ctx);
}

static void
stop_signals(sigset_t *set)
{
	(void)sigemptyset(set);
	(void)sigaddset(set, SIGTERM);
	(void)sigaddset(set, SIGINT);
}

void
program_block_signals(void)
{
	sigset_t set;

	stop_signals(&set);
	(void)pthread_sigmask(SIG_BLOCK, &set, NULL);
}

void
program_wait_for_stop(void)
{
	int sig;
	sigset_t set;

	stop_signals(&set);
	(void)sigwait(&set, &sig);
}
