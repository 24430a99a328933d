/*
 * Fault schedule of a soak run, drawn from a seed.
 *
 * Faults overlap, and some begin at the same time.  The run skips a fault
 * whose target already has another fault.
 */
#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * enum soak_fault - kinds of faults
 * @SOAK_NODE_KILL: a node is killed and started again
 * @SOAK_NODE_STOP: a node gets SIGTERM, and is started again once it has exited
 * @SOAK_NODE_FREEZE: a node is suspended by SIGSTOP
 * @SOAK_NODE_RELOAD: a node gets SIGHUP
 * @SOAK_MASS_KILL: half of the nodes are killed at once
 * @SOAK_UPSTREAM_KILL: an upstream is killed
 * @SOAK_UPSTREAM_STOP: an upstream gets SIGTERM, drains and exits
 * @SOAK_UPSTREAM_FREEZE: an upstream is suspended by SIGSTOP
 * @SOAK_UPSTREAM_SHED: an upstream refuses all calls
 * @SOAK_UPSTREAM_BREAK: an upstream runs calls and closes the connection
 *	without an answer
 * @SOAK_STORE_OUTAGE: the platform fails every request
 * @SOAK_STORE_SLOW: the platform answers late
 * @SOAK_STORE_LOST: the platform executes some writes and drops the answers
 * @SOAK_LINK_CUT: the relay between a host and the platform closes open and
 *	new connections
 * @SOAK_LINK_SILENT: the relay passes no bytes on open or new connections
 * @SOAK_LINK_STALLED: connections that are open now stay silent until closed
 * @SOAK_LINK_ONE_WAY: the relay withholds the platform's answers
 * @SOAK_SIGN_OFF: an operator signs a version off
 * @SOAK_FAULTS: number of kinds that are drawn at random
 * @SOAK_GROW: an operator signs off a version with many more routes; scheduled
 *	apart from the random faults, see soak_plan_grow()
 * @SOAK_STOP_WAVE: half of the nodes get SIGTERM at once; scheduled apart from
 *	the random faults, see soak_plan_stop_waves()
 * @SOAK_UPSTREAM_LIMIT: an upstream names a limit in its answers; scheduled
 *	apart from the random faults, see soak_plan_reports()
 * @SOAK_UPSTREAM_LEAVING: an upstream reports in its answers that it leaves,
 *	then gets SIGTERM; scheduled like the limits
 * @SOAK_STORE_RESTORE: the store is backed up, and comes back from the copy at
 *	the end of the fault; scheduled apart from the random faults, see
 *	soak_plan_restores()
 *
 * Half of the link faults hit the relays of all hosts of the data centre.
 */
enum soak_fault {
	SOAK_NODE_KILL = 0,
	SOAK_NODE_STOP,
	SOAK_NODE_FREEZE,
	SOAK_NODE_RELOAD,
	SOAK_MASS_KILL,
	SOAK_UPSTREAM_KILL,
	SOAK_UPSTREAM_STOP,
	SOAK_UPSTREAM_FREEZE,
	SOAK_UPSTREAM_SHED,
	SOAK_UPSTREAM_BREAK,
	SOAK_STORE_OUTAGE,
	SOAK_STORE_SLOW,
	SOAK_STORE_LOST,
	SOAK_LINK_CUT,
	SOAK_LINK_SILENT,
	SOAK_LINK_STALLED,
	SOAK_LINK_ONE_WAY,
	SOAK_SIGN_OFF,
	SOAK_FAULTS,
	SOAK_GROW = SOAK_FAULTS,
	SOAK_STOP_WAVE,
	SOAK_UPSTREAM_LIMIT,
	SOAK_UPSTREAM_LEAVING,
	SOAK_STORE_RESTORE,
};

/** soak_fault_name() - short name of a kind of fault, for the output */
const char *soak_fault_name(enum soak_fault f);

/**
 * struct soak_event - beginning or end of a fault
 * @at_ms: time since the start of the run
 * @fault: kind of the fault
 * @number: number of the fault, the same for its beginning and end
 * @target: random number that selects the host, modulo the number of hosts
 * @ends: whether the event is the end of the fault
 */
struct soak_event {
	uint32_t at_ms;
	enum soak_fault fault;
	uint32_t number;
	uint32_t target;
	bool ends;
};

/**
 * soak_plan_new() - draw a schedule of random faults
 * @seed: seed of the random numbers; equal seeds give equal plans
 * @duration_ms: length of the run
 * @faults: number of faults
 *
 * Return: struct soak_event ordered by time; free with g_array_unref().
 */
GArray *soak_plan_new(uint32_t seed, uint32_t duration_ms, uint32_t faults);

/**
 * soak_plan_grow() - add sign-offs of growing versions at equal intervals
 * @plan: the plan; its other events stay unchanged
 * @seed: seed that selects the hosts that receive the sign-offs
 * @duration_ms: length of the run
 * @times: number of versions
 */
void soak_plan_grow(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times);

/**
 * soak_plan_stop_waves() - add waves of SIGTERM at random, possibly overlapping
 * times
 * @plan: the plan; its other events stay unchanged
 * @seed: seed of the times and of the hosts
 * @duration_ms: length of the run
 * @times: number of waves
 */
void soak_plan_stop_waves(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times);

/**
 * soak_plan_reports() - add upstreams that name limits or report their leaving
 * @plan: the plan; its other events stay unchanged
 * @seed: seed of the times, the hosts and the limits
 * @duration_ms: length of the run
 * @times: number of limits; half as many upstreams leave
 */
void soak_plan_reports(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times);

/**
 * soak_plan_restores() - add restores of the store from an older copy, which
 * may overlap
 * @plan: the plan; its other events stay unchanged
 * @seed: seed of the times
 * @duration_ms: length of the run
 * @times: number of restores
 */
void soak_plan_restores(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times);

#endif
