/*
 * load_gen: generates open-loop load on nodes, or on upstreams as a baseline.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "standins/load.h"
#include "standins/program.h"
#include "standins/summary.h"

#define LOAD_EXIT_USAGE 2
#define LOAD_SECOND_US 1000000ULL

struct arguments {
	char **nodes;
	char *mix;
	char *run_id;
	char *from;
	char *outcomes;
	char *paths[CALL_KINDS];
	gdouble rate;
	gdouble duration_s;
	gint64 answer_bytes;
	gint64 booking_bytes;
	gint64 upload_bytes;
	gint seed;
	gint timeout_ms;
	gint deadline_ms;
	gint keyed;
	gint twins;
	gint repeats;
	gint leave;
	gint leave_ms;
	gint threads;
	gint connections;
	gboolean direct;
	gboolean json;
};

static const struct arguments defaults = {
    .rate = 100,
    .duration_s = 5,
    .booking_bytes = 200,
    .upload_bytes = 65536,
    .seed = 1,
    .timeout_ms = 10000,
    .leave_ms = 500,
    .threads = 2,
    .connections = 64,
};

static void
arguments_parse(int argc, char **argv, struct arguments *a)
{
	const GOptionEntry entries[] = {
	    {"node", 0, 0, G_OPTION_ARG_STRING_ARRAY, &a->nodes,
		"Node that calls are sent to; may be repeated", "IP:PORT"},
	    {"direct", 0, 0, G_OPTION_ARG_NONE, &a->direct,
		"The nodes are upstreams (baseline)", NULL},
	    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &a->rate, "Calls per second",
		"N"},
	    {"duration-s", 0, 0, G_OPTION_ARG_DOUBLE, &a->duration_s,
		"Time during which calls are sent", "S"},
	    {"mix", 0, 0, G_OPTION_ARG_STRING, &a->mix,
		"Weights of lookups, bookings and uploads (80:15:5)", "L:B:U"},
	    {"path-lookup", 0, 0, G_OPTION_ARG_STRING, &a->paths[CALL_LOOKUP],
		"Path of lookups (/search)", "PATH"},
	    {"path-booking", 0, 0, G_OPTION_ARG_STRING, &a->paths[CALL_BOOKING],
		"Path of bookings (/bookings)", "PATH"},
	    {"path-upload", 0, 0, G_OPTION_ARG_STRING, &a->paths[CALL_UPLOAD],
		"Path of uploads (/documents)", "PATH"},
	    {"answer-bytes", 0, 0, G_OPTION_ARG_INT64, &a->answer_bytes,
		"Bytes requested in responses to lookups (0)", "N"},
	    {"booking-bytes", 0, 0, G_OPTION_ARG_INT64, &a->booking_bytes,
		"Request body bytes of a booking (200)", "N"},
	    {"upload-bytes", 0, 0, G_OPTION_ARG_INT64, &a->upload_bytes,
		"Request body bytes of an upload (65536)", "N"},
	    {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &a->timeout_ms,
		"Timeout of a call (10000)", "MS"},
	    {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &a->deadline_ms,
		"Deadline sent to the node (none)", "MS"},
	    {"keyed", 0, 0, G_OPTION_ARG_INT, &a->keyed,
		"Percentage of bookings with an Idempotency-Key (0)",
		"PERCENT"},
	    {"twins", 0, 0, G_OPTION_ARG_INT, &a->twins,
		"Percentage of these sent through two nodes at once (0)",
		"PERCENT"},
	    {"repeats", 0, 0, G_OPTION_ARG_INT, &a->repeats,
		"Maximum repeats of a keyed booking with unknown fate (0)",
		"N"},
	    {"leave", 0, 0, G_OPTION_ARG_INT, &a->leave,
		"Percentage of callers that leave before their response (0)",
		"PERCENT"},
	    {"leave-ms", 0, 0, G_OPTION_ARG_INT, &a->leave_ms,
		"Latest time after which they leave (500)", "MS"},
	    {"seed", 0, 0, G_OPTION_ARG_INT, &a->seed,
		"Seed of the schedule (1)", "N"},
	    {"run-id", 0, 0, G_OPTION_ARG_STRING, &a->run_id,
		"Prefix of every test id (\"s\" and the seed)", "NAME"},
	    {"threads", 0, 0, G_OPTION_ARG_INT, &a->threads, "Threads (2)",
		"N"},
	    {"connections", 0, 0, G_OPTION_ARG_INT, &a->connections,
		"Idle connections kept by a thread (64)", "N"},
	    {"from", 0, 0, G_OPTION_ARG_STRING, &a->from,
		"Source address of calls", "IP"},
	    {"outcomes", 0, 0, G_OPTION_ARG_FILENAME, &a->outcomes,
		"File for the outcome of each call", "FILE"},
	    {"json", 0, 0, G_OPTION_ARG_NONE, &a->json,
		"Print the summary as JSON", NULL},
	    G_OPTION_ENTRY_NULL};

	program_options(&argc, &argv, entries,
	    "Generates open-loop load. Latency is measured from the "
	    "scheduled time.");
}

static void
set_default(char **text, const char *value)
{
	if (*text == NULL)
		*text = g_strdup(value);
}

static void
arguments_set_defaults(struct arguments *a)
{
	set_default(&a->mix, "80:15:5");
	set_default(&a->paths[CALL_LOOKUP], "/search");
	set_default(&a->paths[CALL_BOOKING], "/bookings");
	set_default(&a->paths[CALL_UPLOAD], "/documents");
	if (a->run_id == NULL)
		a->run_id = g_strdup_printf("s%d", a->seed);
}

static void
arguments_free(struct arguments *a)
{
	int k;

	g_strfreev(a->nodes);
	g_free(a->mix);
	g_free(a->run_id);
	g_free(a->from);
	g_free(a->outcomes);
	for (k = 0; k < CALL_KINDS; k++)
		g_free(a->paths[k]);
}

static void
exit_usage(const char *message)
{
	(void)fprintf(stderr, "%s; see --help.\n", message);
	exit(LOAD_EXIT_USAGE);
}

static void
mix_parse(const char *text, uint32_t mix[CALL_KINDS])
{
	char **part = g_strsplit(text, ":", CALL_KINDS);
	int k;

	if (g_strv_length(part) != CALL_KINDS)
		exit_usage("--mix needs three weights separated by colons");
	for (k = 0; k < CALL_KINDS; k++)
		mix[k] = (uint32_t)g_ascii_strtoull(part[k], NULL, 10);
	g_strfreev(part);
}

static void
schedule_spec_init(const struct arguments *a, struct schedule_spec *s)
{
	if (a->nodes == NULL)
		exit_usage("specify a node with --node IP:PORT");
	if (a->rate <= 0 || a->duration_s <= 0 || a->threads < 1)
		exit_usage(
		    "--rate, --duration-s and --threads must be above 0");
	s->seed = (uint64_t)a->seed;
	s->rate = a->rate;
	s->duration_us = (uint64_t)(a->duration_s * (double)LOAD_SECOND_US);
	mix_parse(a->mix, s->mix);
	s->nodes = g_strv_length(a->nodes);
	s->keyed_percent = (uint32_t)a->keyed;
	s->twin_percent = (uint32_t)a->twins;
	s->leave_percent = (uint32_t)a->leave;
	s->leave_max_ms = (uint32_t)a->leave_ms;
}

static void
load_options_init(const struct arguments *a, struct load_options *o)
{
	int k;

	memset(o, 0, sizeof(*o));
	o->nodes = (const char *const *)a->nodes;
	o->n_nodes = g_strv_length(a->nodes);
	o->direct = a->direct;
	o->run_id = a->run_id;
	for (k = 0; k < CALL_KINDS; k++)
		o->paths[k] = a->paths[k];
	o->body_bytes[CALL_BOOKING] = (uint64_t)a->booking_bytes;
	o->body_bytes[CALL_UPLOAD] = (uint64_t)a->upload_bytes;
	o->answer_bytes = (uint64_t)a->answer_bytes;
	o->timeout_ms = (uint32_t)a->timeout_ms;
	o->deadline_ms = (uint32_t)a->deadline_ms;
	o->repeats = (uint32_t)a->repeats;
	o->threads = (uint32_t)a->threads;
	o->connections = (uint32_t)a->connections;
	o->from = a->from;
}

static int
write_outcomes(const char *path, const GArray *outcomes)
{
	FILE *f = fopen(path, "w");
	guint i;

	if (f == NULL) {
		(void)fprintf(stderr, "can't write %s: %m.\n", path);
		return 0;
	}
	for (i = 0; i < outcomes->len; i++)
		outcomes_write(f, &g_array_index(outcomes, struct outcome, i));
	return fclose(f) == 0;
}

int
main(int argc, char **argv)
{
	GArray *schedule;
	int ok = 1;
	json_t *summary;
	struct arguments a = defaults;
	struct load_options o;
	struct load_result r;
	struct schedule_spec s;

	arguments_parse(argc, argv, &a);
	arguments_set_defaults(&a);
	schedule_spec_init(&a, &s);
	load_options_init(&a, &o);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	schedule = schedule_new(&s);
	load_run(&o, schedule, &r);
	if (a.outcomes != NULL)
		ok = write_outcomes(a.outcomes, r.outcomes);
	summary = summary_json(&r, s.duration_us);
	if (a.json) {
		json_dumpf(summary, stdout, JSON_INDENT(1));
		(void)printf("\n");
	} else {
		summary_print(summary);
	}
	json_decref(summary);
	load_result_clear(&r);
	g_array_unref(schedule);
	arguments_free(&a);
	curl_global_cleanup();
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
