/*
 * standin_platform: in-memory table service and object store, for tests and the
 * demonstration.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "standins/platform.h"
#include "standins/program.h"

/*
 * A connection that goes silent holds a thread until its idle timeout of 60 s.
 * The test of silent connections leaves 200 of them: on a busy machine they
 * held all of 64 threads, and no request got a response any more.
 */
#define PLATFORM_THREADS 512

int
main(int argc, char **argv)
{
	char *address = NULL;
	gint port = 0, threads = PLATFORM_THREADS;
	const GOptionEntry entries[] = {
	    {"address", 0, 0, G_OPTION_ARG_STRING, &address,
		"Address to listen on (127.0.0.1)", "IP"},
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, "Port to listen on", "N"},
	    {"threads", 0, 0, G_OPTION_ARG_INT, &threads,
		"Worker threads; each open connection holds one", "N"},
	    G_OPTION_ENTRY_NULL};
	struct platform *p;

	program_block_signals();
	program_options(&argc, &argv, entries,
	    "Stand-in for the platform: table service and object store.");
	if (platform_start(address == NULL ? "127.0.0.1" : address,
		(uint16_t)port, threads, &p) != STATUS_OK) {
		(void)fprintf(stderr, "%s\n", status_message());
		return EXIT_FAILURE;
	}
	program_wait_for_stop();
	platform_stop(p);
	g_free(address);
	return EXIT_SUCCESS;
}
