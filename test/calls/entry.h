/*
 * Entry of the driver: runs the production modules for calls, placement,
 * ejection and the retry budget.
 */
#ifndef CALLS_ENTRY_H
#define CALLS_ENTRY_H

#include "link.h"

/**
 * struct entry - one entry
 * @up: the process runs
 * @process: generation of the process; changes with each start and end
 * @skew_ms: offset of its monotonic clock from virtual time
 * @frozen_until_us: time until which the process is frozen
 * @generation: version of the endpoint list passed to @endpoints
 * @seen_versions: newest announcement received from each guard
 * @calls: call number to struct entry_call
 * @links: connection to each guard, or NULL
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
 * struct entry_call - call in progress at an entry
 * @deadline_ms: deadline in the entry's time
 * @wake_ms: time of the next scheduled tick
 * @link: connection of its latest frame
 * @stream: its latest stream
 * @answered_call: number of the call that the response belongs to
 * @in_flight_endpoint: endpoint that counts the call as in flight, or 0
 * @attempt_start_us: start of the current attempt
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

/** entry_now_ms() - monotonic time of the entry */
uint64_t entry_now_ms(const struct entry *e);

/** entry_new() - create an entry with a running process */
struct entry *entry_new(struct world *w, uint32_t index);

/** entry_free() - free it */
void entry_free(struct entry *e);

/** entry_kill() - kill the process; its callers lose their connections */
void entry_kill(struct entry *e);

/** entry_restart() - start a new process */
void entry_restart(struct entry *e);

/** entry_begin_drain() - drain and stop the process, and restart it later */
void entry_begin_drain(struct entry *e);

/** entry_frozen_until_us() - end of the freeze; in the past if not frozen */
uint64_t entry_frozen_until_us(const struct entry *e);

/** entry_update_endpoint() - receive an announcement of an endpoint */
void entry_update_endpoint(struct entry *e, uint32_t endpoint,
    const struct endpoint_announcement *announcement);

/** entry_accept_call() - receive a caller's request */
void entry_accept_call(struct entry *e, struct client_call *c);

/** entry_caller_disconnected() - the caller of call @number disconnected */
void entry_caller_disconnected(struct entry *e, uint32_t number);

/** entry_link_lost() - a connection was reset, refused or timed out */
void entry_link_lost(struct entry *e, struct link *l);

/** entry_receive() - receive a frame */
void entry_receive(struct entry *e, struct link *l, const struct message *m);

#endif
