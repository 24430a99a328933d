/*
 * What goes wrong in a run of the soak, and when: drawn from a seed.
 *
 * Faults come in series and overlap.  What befalls a host that something has
 * befallen already is left out, by the run.
 */
#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * enum soak_fault - kinds of faults
 * @SOAK_NODE_KILL: a node is killed and started again
 * @SOAK_NODE_STOP: a node gets SIGTERM, and is started again once it ended
 * @SOAK_NODE_FREEZE: a node stands still
 * @SOAK_NODE_RELOAD: a node gets SIGHUP
 * @SOAK_MASS_KILL: half of the nodes are killed at once
 * @SOAK_UPSTREAM_KILL: an upstream is killed
 * @SOAK_UPSTREAM_STOP: an upstream gets SIGTERM: it drains and leaves
 * @SOAK_UPSTREAM_FREEZE: an upstream stands still
 * @SOAK_UPSTREAM_SHED: an upstream refuses all
 * @SOAK_UPSTREAM_BREAK: an upstream runs calls and closes without an answer
 * @SOAK_STORE_OUTAGE: the platform fails
 * @SOAK_STORE_SLOW: it answers late
 * @SOAK_STORE_LOST: some of its answers are lost after they took effect
 * @SOAK_LINK_CUT: a host's connections to it are closed, new ones too, or those
 *	of all hosts of a data centre
 * @SOAK_LINK_SILENT: nothing passes on them, open or new
 * @SOAK_LINK_STALLED: those that are open go silent for good
 * @SOAK_LINK_ONE_WAY: its answers don't arrive
 * @SOAK_SIGN_OFF: an operator signs a version off
 * @SOAK_FAULTS: number of kinds that are drawn
 * @SOAK_GROW: an operator signs a version off that has many routes more; comes
 * in series beside the others, see soak_plan_grow()
 * @SOAK_STOP_WAVE: half of the nodes get SIGTERM at once; comes in series
 * beside the others, see soak_plan_stop_waves()
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
};

/** soak_fault_name() - short name for the output */
const char *soak_fault_name(enum soak_fault f);

/**
 * struct soak_event - a fault begins or ends
 * @at_ms: from the start of the run
 * @fault: its kind
 * @number: number of the fault, the same for its beginning and end
 * @target: which host or data centre; to be taken modulo their number
 * @ends: it ends
 */
struct soak_event {
	uint32_t at_ms;
	enum soak_fault fault;
	uint32_t number;
	uint32_t target;
	bool ends;
};

/**
 * soak_plan_new() - draw a plan
 * @seed: the same seed gives the same plan
 * @duration_ms: length of the run
 * @faults: number of faults
 *
 * Return: struct soak_event in order of time; free with g_array_unref().
 */
GArray *soak_plan_new(uint32_t seed, uint32_t duration_ms, uint32_t faults);

/**
 * soak_plan_grow() - add versions that grow, as far apart as they can be
 * @plan: the plan; what it has stays as it is
 * @seed: which hosts are asked
 * @duration_ms: length of the run
 * @times: number of versions
 */
void soak_plan_grow(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times);

/**
 * soak_plan_stop_waves() - add waves of SIGTERM, each while the one before may
 * still be under way
 * @plan: the plan; what it has stays as it is
 * @seed: when, and which hosts
 * @duration_ms: length of the run
 * @times: number of waves
 */
void soak_plan_stop_waves(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times);

#endif
