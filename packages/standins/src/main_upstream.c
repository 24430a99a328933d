/*
 * standin_upstream: an upstream that counts its runs, for tests and the
 * demonstration.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "standins/program.h"
#include "standins/upstream.h"

#define UPSTREAM_SLOTS 12
#define UPSTREAM_THREADS 64
#define UPSTREAM_LEASE_MS 3000
#define UPSTREAM_DRAIN_MS 60000

struct arguments {
	char *address;
	char *host;
	char *journal;
	char *node;
	char *service;
	gint cold_start_ms;
	gint drain_ms;
	gint lease_ms;
	gint port;
	gint slots;
	gint threads;
	gint warm_up_ms;
	gint work_ms_mean;
};

static void
arguments_parse(int argc, char **argv, struct arguments *a)
{
	const GOptionEntry entries[] = {
	    {"address", 0, 0, G_OPTION_ARG_STRING, &a->address,
		"Address to listen on (127.0.0.1)", "IP"},
	    {"port", 0, 0, G_OPTION_ARG_INT, &a->port, "Port to listen on",
		"N"},
	    {"host", 0, 0, G_OPTION_ARG_STRING, &a->host,
		"Name of the host, sent in responses", "NAME"},
	    {"service", 0, 0, G_OPTION_ARG_STRING, &a->service,
		"Name of the service", "NAME"},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &a->slots,
		"Maximum concurrent calls; further ones are shed (12)", "N"},
	    {"threads", 0, 0, G_OPTION_ARG_INT, &a->threads,
		"Worker threads; each open connection holds one (64)", "N"},
	    {"work-ms-mean", 0, 0, G_OPTION_ARG_INT, &a->work_ms_mean,
		"Mean time that a call takes (0)", "MS"},
	    {"cold-start-ms", 0, 0, G_OPTION_ARG_INT, &a->cold_start_ms,
		"Time from the start until calls are accepted (0)", "MS"},
	    {"warm-up-ms", 0, 0, G_OPTION_ARG_INT, &a->warm_up_ms,
		"Time after that during which calls take longer (0)", "MS"},
	    {"node", 0, 0, G_OPTION_ARG_STRING, &a->node,
		"Administration API of the node to announce to", "IP:PORT"},
	    {"lease-ms", 0, 0, G_OPTION_ARG_INT, &a->lease_ms,
		"Lease requested from the node (3000)", "MS"},
	    {"drain-ms", 0, 0, G_OPTION_ARG_INT, &a->drain_ms,
		"Maximum time for calls in progress at the end (60000)", "MS"},
	    {"journal", 0, 0, G_OPTION_ARG_FILENAME, &a->journal,
		"Journal that each run is written to before its work", "FILE"},
	    G_OPTION_ENTRY_NULL};

	a->slots = UPSTREAM_SLOTS;
	a->threads = UPSTREAM_THREADS;
	a->lease_ms = UPSTREAM_LEASE_MS;
	a->drain_ms = UPSTREAM_DRAIN_MS;
	program_options(&argc, &argv, entries,
	    "Stand-in for an upstream: runs calls and counts them.");
}

static void
arguments_free(struct arguments *a)
{
	g_free(a->address);
	g_free(a->host);
	g_free(a->journal);
	g_free(a->node);
	g_free(a->service);
}

int
main(int argc, char **argv)
{
	enum status st;
	struct arguments a;
	struct upstream *u;
	struct upstream_options o;

	program_block_signals();
	memset(&a, 0, sizeof(a));
	arguments_parse(argc, argv, &a);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	memset(&o, 0, sizeof(o));
	o.address = a.address == NULL ? "127.0.0.1" : a.address;
	o.host = a.host == NULL ? o.address : a.host;
	o.service = a.service == NULL ? "service" : a.service;
	o.port = (uint16_t)a.port;
	o.slots = (uint32_t)a.slots;
	o.threads = a.threads;
	o.work_ms_mean = (uint32_t)a.work_ms_mean;
	o.cold_start_ms = (uint32_t)a.cold_start_ms;
	o.warm_up_ms = (uint32_t)a.warm_up_ms;
	o.node = a.node;
	o.lease_ms = (uint32_t)a.lease_ms;
	o.journal = a.journal;
	if (upstream_start(&o, &u) != STATUS_OK) {
		(void)fprintf(stderr, "%s\n", status_message());
		return EXIT_FAILURE;
	}
	program_wait_for_stop();
	st = upstream_drain(u, (uint32_t)a.drain_ms);
	if (st != STATUS_OK)
		(void)fprintf(stderr, "%s\n", status_message());
	upstream_stop(u);
	arguments_free(&a);
	curl_global_cleanup();
	return st == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
