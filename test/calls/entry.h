/*
 * The entry's side of the driver: the shell around calls, placement, ejection
 * and the retry budget.
 */
#ifndef CALLS_ENTRY_H
#define CALLS_ENTRY_H

#include "link.h"

/**
 * struct entry - one entry
 * @calls: call number -> struct entry_call
 * @links: the connection to each guard, or NULL
 */
struct entry {
	struct world *world;
	uint32_t index;
	bool up;
	uint64_t process;
	uint64_t skew_ms;
	uint64_t frozen_until_us;
	uint64_t generation;
	uint64_t seen_versions[GUARDS_MAX];
	struct endpoint_info infos[GUARDS_MAX];
	struct endpoints *endpoints;
	struct ejection *ejection;
	struct placement *placement;
	struct retry_budget budget;
	struct drain drain;
	GHashTable *calls;
	struct link *links[GUARDS_MAX];
};

/**
 * struct entry_call - one call at this entry
 * @link: the connection of its latest frame
 * @stream: its latest stream
 * @answered_call: the request that the answer belongs to
 * @in_flight_endpoint: endpoint that counts it as in flight, or 0
 */
struct entry_call {
	struct entry *entry;
	struct call *call;
	uint32_t number;
	uint64_t process;
	uint64_t deadline_ms;
	uint64_t wake_ms;
	struct link *link;
	uint32_t stream;
	uint32_t answered_call;
	uint64_t in_flight_endpoint;
	uint64_t attempt_start_us;
};

/** entry_now_ms() - its monotonic time */
uint64_t entry_now_ms(const struct entry *e);

/** entry_new() - an entry that is up */
struct entry *entry_new(struct world *w, uint32_t index);

/** entry_free() - free it */
void entry_free(struct entry *e);

/** entry_kill() - the process dies; its callers are cut off */
void entry_kill(struct entry *e);

/** entry_restart() - a new process */
void entry_restart(struct entry *e);

/** entry_begin_drain() - planned stop and later restart */
void entry_begin_drain(struct entry *e);

/** entry_frozen_until_us() - end of its pause; in the past when not paused */
uint64_t entry_frozen_until_us(const struct entry *e);

/** entry_update_endpoint() - news of an endpoint has come */
void entry_update_endpoint(struct entry *e, uint32_t endpoint,
    const struct endpoint_announcement *announcement);

/** entry_accept_call() - a caller's request comes in */
void entry_accept_call(struct entry *e, struct client_call *c);

/** entry_caller_disconnected() - the caller of @number hangs up */
void entry_caller_disconnected(struct entry *e, uint32_t number);

/** entry_link_lost() - a connection broke, was refused or is silent */
void entry_link_lost(struct entry *e, struct link *l);

/** entry_receive() - a frame came */
void entry_receive(struct entry *e, struct link *l, const struct message *m);

#endif
