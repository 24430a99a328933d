/*
 * One call in flight of the load generator, and the worker that makes it.
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

/* Fate header of an answer. */
enum load_fate {
	LOAD_FATE_ABSENT,
	LOAD_FATE_DONE,
	LOAD_FATE_NOT_RUN,
	LOAD_FATE_UNKNOWN,
};

/* A call; kept with its easy handle and used again for later calls. */
struct load_call {
	CURL *easy;
	const struct load_options *opt;
	struct curl_slist *headers;
	struct outcome outcome;
	uint32_t node;
	uint32_t repeats_left;
	enum load_fate fate;
	int retry_after;
	struct pattern body; /* place in the body being sent */
	uint64_t body_bytes;
	struct reply_reader reply;
};

/*
 * A call with its own easy handle; load_call_free() frees it.
 */
struct load_call *load_call_new(const struct load_options *o);
void load_call_free(struct load_call *c);

/* Set the handle up for one call; c->outcome names it, c->node gets it. */
void load_call_prepare(struct load_call *c);

/* Judge the answer at the end of the transfer; fills c->outcome. */
void load_call_finish(struct load_call *c, CURLcode rc);

/* Run one thread's share of a schedule. */
struct load_worker;
struct load_worker *load_worker_new(const struct load_options *o,
    const GArray *schedule, uint32_t first, uint64_t start_us);
void load_worker_run(struct load_worker *w);
/* Move what was recorded to the result, and free. */
void load_worker_free(struct load_worker *w, struct load_result *out);

#endif
