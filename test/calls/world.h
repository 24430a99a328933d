/*
 * World of the driver: simulated entries, guards and upstreams in one process,
 * connected by links, with a virtual clock.  It calls the traffic decisions in
 * the same way as the daemons; apart from that it only delivers messages and
 * injects faults.
 */
#ifndef CALLS_WORLD_H
#define CALLS_WORLD_H

#include <glib.h>

#include "queue.h"
#include "traffic/admission.h"
#include "traffic/call.h"
#include "traffic/drain.h"
#include "traffic/frame_age.h"
#include "traffic/keyed.h"
#include "traffic/placement.h"

#define US_PER_MS 1000
#define SERVICE 77
#define GUARDS_MAX 16
#define ENTRIES_MAX 16
#define CALL_NONE UINT32_MAX

/**
 * enum defect - defect injected on purpose, which the checker must detect
 * @DEFECT_NONE: none
 * @DEFECT_RESEND_BOOKINGS: bookings are treated as idempotent
 * @DEFECT_NO_TOMBSTONE: a guard forgets all fates after it resolved a
 *	request as not run
 * @DEFECT_TRUST_TIME_LEFT: a guard counts the remaining time from the arrival
 *	of a frame instead of its sending
 * @DEFECT_ACCEPT_STALE_STREAM: an entry accepts frames of earlier streams
 * @DEFECT_LOST_IS_NOT_RUN: an entry reports every failure as not_run
 * @DEFECT_IGNORE_RESTART: a guard ignores that a resolve is for an earlier
 *	incarnation
 * @DEFECT_KEY_HOME_NOT_QUERIED: a guard ignores the response of a key's
 *	previous home
 * @DEFECT_SWAPPED_RESPONSES: a guard returns the response of another call
 * @DEFECT_COUNT: number of defects
 */
enum defect {
	DEFECT_NONE = 0,
	DEFECT_RESEND_BOOKINGS,
	DEFECT_NO_TOMBSTONE,
	DEFECT_TRUST_TIME_LEFT,
	DEFECT_ACCEPT_STALE_STREAM,
	DEFECT_LOST_IS_NOT_RUN,
	DEFECT_IGNORE_RESTART,
	DEFECT_KEY_HOME_NOT_QUERIED,
	DEFECT_SWAPPED_RESPONSES,
	DEFECT_COUNT,
};

/** enum fault - fault injected at random */
enum fault {
	FAULT_GUARD_KILLED = 0,
	FAULT_GUARD_FROZEN,
	FAULT_GUARD_DRAINED,
	FAULT_ENTRY_KILLED,
	FAULT_ENTRY_FROZEN,
	FAULT_ENTRY_DRAINED,
	FAULT_UPSTREAM_KILLED,
	FAULT_UPSTREAM_SLOW,
	FAULT_LINK_RESET,
	FAULT_LINK_DROPS_FRAMES,
	FAULT_LINK_STALLED,
	FAULT_PLATFORM_DOWN,
	FAULT_DATA_CENTRE_PARTITIONED,
	FAULT_COUNT,
};

/**
 * struct world_config - parameters of one run
 *
 * delay_us is the one-way delay between data centres, local_delay_us that
 * within a data centre.  Shares are in percent.  faults_per_s is the mean rate
 * of all faults in fault_mask, a set of bits of enum fault.
 */
struct world_config {
	uint64_t seed;
	uint32_t entries;
	uint32_t guards;
	uint32_t data_centres;
	uint32_t slots;
	uint32_t announced_slots;
	uint32_t connections;
	uint32_t service_us;
	uint32_t delay_us;
	uint32_t local_delay_us;
	uint32_t duration_ms;
	uint32_t rate_per_s;
	uint32_t booking_percent;
	uint32_t keyed_percent;
	uint32_t duplicated_percent;
	uint32_t disconnect_percent;
	uint32_t large_percent;
	uint32_t deadline_ms;
	uint32_t window_ms;
	double faults_per_s;
	uint32_t fault_mask;
	bool claim;
	bool naive;
	enum defect defect;
	struct endpoints_config endpoints;
	struct placement_config placement;
	struct ejection_config ejection;
	struct retry_config retry;
	struct admission_config admission;
	bool eject;
	bool random_placement;
};

/**
 * struct client_call - a caller's request, its runs and its outcome
 * @sent_us: time at which the caller sent it
 * @outcome_us: time at which @outcome was reported to the caller
 * @has_outcome: an outcome was reported
 * @aborted: the caller's connection was closed in the middle of a response
 * @entry_lost: its entry was killed, or interrupted it at the end of a drain
 * @disconnected: the caller disconnected
 * @answered_call: call that the delivered response belongs to, or CALL_NONE
 * @runs: number of times that upstreams started it
 * @first_run_us: time of the first start
 * @n_earlier: number of earlier requests of the caller with the same key
 * @n_outcomes: number of outcomes reported
 */
struct client_call {
	uint32_t number;
	uint32_t entry;
	bool booking;
	bool keyed;
	bool large;
	uint32_t key;
	uint64_t sent_us;
	uint64_t outcome_us;
	bool has_outcome;
	bool aborted;
	bool entry_lost;
	bool disconnected;
	enum outcome outcome;
	enum refusal refusal;
	uint32_t answered_call;
	uint32_t runs;
	uint64_t first_run_us;
	uint32_t attempts;
	uint32_t n_earlier;
	uint32_t n_outcomes;
};

/** struct endpoint_announcement - announced state of a guard's endpoint */
struct endpoint_announcement {
	uint64_t version;
	uint64_t incarnation;
	enum endpoint_state state;
};

/** struct world - simulated system */
struct world {
	struct world_config cfg;
	struct queue *queue;
	GRand *random;
	uint64_t now_us;
	GPtrArray *calls;
	GPtrArray *links;
	struct entry *entries[ENTRIES_MAX];
	struct guard *guards[GUARDS_MAX];
	struct endpoint_announcement announced[GUARDS_MAX];
	GHashTable *claims;
	bool platform_down;
	/* Data centre partitioned from the others; counted from 1, 0 for
	 * none. */
	uint32_t partitioned_data_centre;
	uint64_t interrupted_by_drain;
	uint64_t started_while_draining;
	uint64_t sends;
	uint64_t refusals;
	uint32_t keys;
};

/** world_config_default() - set the parameters of a small world without
 * faults */
void world_config_default(struct world_config *cfg);

/** world_new() - create a world; free with world_free() */
struct world *world_new(const struct world_config *cfg);

/** world_free() - free a world */
void world_free(struct world *w);

/** world_run() - run: callers send for the configured duration, then calls
 * finish */
void world_run(struct world *w);

/** world_random_percent() - true with a probability of @percent */
bool world_random_percent(struct world *w, uint32_t percent);

/** world_random_between() - random number from @low to @high, inclusive */
uint64_t world_random_between(struct world *w, uint64_t low, uint64_t high);

/** world_schedule_after() - schedule @fn(@target, @arg) after @after_us */
void world_schedule_after(struct world *w, uint64_t after_us,
    void (*fn)(void *target, void *arg), void *target, void *arg);

/** world_announce() - announce the state of a guard's endpoint to all nodes */
void world_announce(struct world *w, uint32_t guard, enum endpoint_state state);

/** world_record_outcome() - record the outcome reported to a caller that is
 * still connected */
void world_record_outcome(struct world *w, uint32_t number,
    enum outcome outcome, enum refusal refusal, uint32_t answered_call);

/** world_inject_fault() - inject a fault of the given kind now (faults.c) */
void world_inject_fault(struct world *w, enum fault fault);

/** world_call() - find a call by its number */
struct client_call *world_call(struct world *w, uint32_t number);

#endif
