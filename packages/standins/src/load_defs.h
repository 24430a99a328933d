/*
 * Calls and worker threads of the load generator.
 */
#ifndef STANDINS_LOAD_DEFS_H
#define STANDINS_LOAD_DEFS_H

#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "standins/load.h"
#include "standins/pattern.h"
#include "standins/reply.h"

#define LOAD_URL_BYTES 512

/* Value of the Bramley-Fate header of a response. */
enum load_fate {
	LOAD_FATE_ABSENT,
	LOAD_FATE_DONE,
	LOAD_FATE_NOT_RUN,
	LOAD_FATE_UNKNOWN,
};

/* A call with its libcurl handle; reused for later calls. */
struct load_call {
	CURL *easy;
	const struct load_options *opt;
	struct curl_slist *headers;
	struct outcome outcome;
	uint32_t node;
	uint32_t repeats_left;
	uint32_t leave_ms; /* when the caller leaves, 0 if it stays */
	enum load_fate fate;
	int retry_after;
	struct pattern body; /* position in the request body */
	uint64_t body_bytes;
	struct reply_reader reply;
};

/* Allocate a call with a libcurl handle; free with load_call_free(). */
struct load_call *load_call_new(const struct load_options *o);
void load_call_free(struct load_call *c);

/* Set up the handle for the call in c->outcome, to be sent to c->node. */
void load_call_prepare(struct load_call *c);

/* Check the response after the end of the transfer; updates c->outcome. */
void load_call_finish(struct load_call *c, CURLcode rc);

/* Worker for the arrivals @first, @first + o->threads, ... of a schedule. */
struct load_worker;
struct load_worker *load_worker_new(const struct load_options *o,
    const GArray *schedule, uint32_t first, uint64_t start_us);
void load_worker_run(struct load_worker *w);
/* Append the records to the result and free the worker. */
void load_worker_free(struct load_worker *w, struct load_result *out);

#endif
