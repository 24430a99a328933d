/*
 * State of the stand-in upstream, shared by call handling and control.
 */
#ifndef STANDINS_UPSTREAM_DEFS_H
#define STANDINS_UPSTREAM_DEFS_H

#include <pthread.h>
#include <stdint.h>

#include <glib.h>

#include "standins/announcer.h"
#include "standins/runs.h"
#include "standins/upstream.h"
#include "standins/web.h"

#define UPSTREAM_LIE_BYTES 8
#define UPSTREAM_LOAD_ACTUAL (-1)

/* Faults that tests inject through /standin/knobs; see upstream.h. */
struct upstream_knobs {
	int shed;
	int hang;
	int drain;
	int pause_lease;
	double slow_factor;
	uint32_t work_ms_mean;
	uint32_t work_ms_exact; /* of each call; 0: random about the mean */
	char lie_health[UPSTREAM_LIE_BYTES];
	int64_t lie_load;
	uint32_t close_after_run;
	uint32_t close_kept_alive;
	uint32_t limit_per_s; /* named in answers; 0: none */
	int leaving;	      /* reported in answers */
};

struct upstream_stats {
	uint64_t shed;		     /* rejected, not run */
	uint64_t broken;	     /* truncated request bodies, not run */
	uint64_t unanswered;	     /* run, closed without a response */
	uint64_t abandoned;	     /* closed by the node during their work */
	uint64_t after_drain;	     /* runs started after draining_ms */
	uint64_t after_drain_max_ms; /* from then to the latest of them */
	uint64_t over_limit;	     /* runs beyond the bound of the limit */
	uint64_t after_leaving;	     /* runs after the time to leave it */
};

struct upstream {
	struct upstream_options opt;
	struct web_server *web;
	struct announcer *announcer; /* NULL without a node */
	struct runs *runs;
	pthread_t starter;    /* announces "ready" after the cold start */
	pthread_mutex_t lock; /* protects all fields below */
	pthread_cond_t changed;
	struct upstream_knobs knobs;
	struct upstream_stats stats;
	uint32_t in_flight;
	uint64_t ready_ms;    /* when the cold start ends */
	uint64_t draining_ms; /* end of ack wait, or DEADLINE_NEVER */
	uint64_t limit_ms;    /* when the limit binds, or DEADLINE_NEVER */
	uint64_t leaving_ms;  /* when leaving binds, or DEADLINE_NEVER */
	GArray *limited;      /* uint64_t, starts of runs from limit_ms on */
	int stopping;
};

/* Handle one call from slot to response. */
void upstream_call(struct upstream *u, struct mg_connection *conn);

/* Whether calls are accepted now; call with the lock held. */
int upstream_is_serving(const struct upstream *u, uint64_t now_ms);

#endif
