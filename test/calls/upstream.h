/*
 * Simulated upstream: slots, a backlog of connections, service times, and the
 * number of runs of each request.
 */
#ifndef CALLS_UPSTREAM_H
#define CALLS_UPSTREAM_H

#include "world.h"

struct guard;

/**
 * struct job - request at the upstream
 * @process: generation of the upstream's process
 * @guard_process: generation of the guard's process
 * @running: the job has a slot; otherwise it is in the backlog
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
 * @process: generation of the process
 * @slowdown: factor of service times
 * @cold_until_us: time until which service times are longer after a restart
 * @running: jobs in a slot
 * @backlog: jobs that wait for a slot
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

/** upstream_init() - initialise an idle upstream */
void upstream_init(struct upstream *u, struct world *w, struct guard *g);

/** upstream_clear() - free the jobs */
void upstream_clear(struct upstream *u);

/**
 * upstream_submit() - submit a request; guard_on_job_done() follows
 *
 * Return: false if the request is shed, that is, certainly not run.
 */
bool
upstream_submit(struct upstream *u, const struct request_id *id, uint32_t call);

/** upstream_kill() - kill the process and replace it by a cold one */
void upstream_kill(struct upstream *u);

#endif
