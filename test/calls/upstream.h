/*
 * A fake upstream: slots, a backlog of connections, service times, and a count
 * of runs for each request.
 */
#ifndef CALLS_UPSTREAM_H
#define CALLS_UPSTREAM_H

#include "world.h"

struct guard;

/**
 * struct job - a request at the upstream
 * @process: generation of the upstream; @guard_process: of the guard
 */
struct job {
	struct upstream *upstream;
	uint64_t process;
	uint64_t guard_process;
	struct request_id id;
	uint32_t call;
	bool running;
};

/**
 * struct upstream - one upstream
 * @slowdown: service times are multiplied by it
 * @cold_until_us: until then it is slow after a restart
 */
struct upstream {
	struct world *world;
	struct guard *guard;
	uint64_t process;
	uint32_t slowdown;
	uint64_t cold_until_us;
	GPtrArray *running;
	GQueue backlog;
};

/** upstream_init() - empty */
void upstream_init(struct upstream *u, struct world *w, struct guard *g);

/** upstream_clear() - free its jobs */
void upstream_clear(struct upstream *u);

/**
 * upstream_submit() - a request comes; guard_on_job_done() follows
 *
 * Return: false when it is shed, and certainly not run.
 */
bool
upstream_submit(struct upstream *u, const struct request_id *id, uint32_t call);

/** upstream_kill() - its process dies and is replaced by a cold one */
void upstream_kill(struct upstream *u);

#endif
