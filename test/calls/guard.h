/*
 * The guard's side of the driver: the shell around fates, admission, keys and
 * drain of one endpoint.
 */
#ifndef CALLS_GUARD_H
#define CALLS_GUARD_H

#include "link.h"
#include "upstream.h"

/**
 * struct guard - one guard and its upstream
 * @process: generation, changes with each restart
 * @skew_ms: its monotonic clock is ahead of the world's by this
 * @drain_started_us: its endpoint was told to leave then; 0: serving
 * @wake_us: when admission is looked at next; 0: not planned
 * @requests: request id -> struct guard_request, for those not settled
 * @tickets: ticket -> the same
 */
struct guard {
	struct world *world;
	uint32_t index;
	bool up;
	uint64_t process;
	uint64_t incarnation;
	uint64_t skew_ms;
	uint64_t frozen_until_us;
	uint64_t drain_started_us;
	uint64_t wake_us;
	uint64_t n_tickets;
	uint64_t seen_versions[GUARDS_MAX];
	enum endpoint_state view[GUARDS_MAX];
	struct upstream upstream;
	struct fate_table *fates;
	struct admission *admission;
	struct keyed *keyed;
	struct drain drain;
	GHashTable *requests;
	GHashTable *tickets;
};

/**
 * struct guard_request - a request that is not settled
 * @ticket: its number in admission
 * @deadline_ms: in the guard's time
 */
struct guard_request {
	struct request_id id;
	uint32_t call;
	uint64_t ticket;
	uint64_t deadline_ms;
	uint64_t started_ms;
	enum admission_class class;
};

/** guard_now_ms() - its monotonic time */
uint64_t guard_now_ms(const struct guard *g);

/** guard_find() - a request that is not settled, or NULL */
struct guard_request *
guard_find(const struct guard *g, const struct request_id *id);

/** guard_new_fates() - an empty table of its process */
struct fate_table *guard_new_fates(const struct guard *g);

/** guard_process_admission() - start or refuse what admission has ready */
void guard_process_admission(struct guard *g);

/** guard_admit() - offer a request to admission */
void guard_admit(struct guard *g, struct guard_request *r);

/** guard_refuse() - settle a request as refused and tell who waits */
void guard_refuse(struct guard *g, struct guard_request *r,
    enum refusal refusal, uint64_t retry_after_ms);

/** guard_key_offer() - a keyed request came (guard_key.c) */
void guard_key_offer(struct guard *g, struct guard_request *r);

/** guard_key_id() - the key of a call */
void guard_key_id(const struct client_call *c, struct key_id *key);

/** guard_send() - send a frame to one who waits */
void
guard_send(struct guard *g, const struct fate_waiter *to, struct message *m);

/** guard_response_call() - the request that a kept answer belongs to; frees it
 */
uint32_t guard_response_call(GBytes *answer);

/** guard_remove_request() - a request is settled and answered */
void guard_remove_request(struct guard *g, struct guard_request *r);

/** guard_new() - a guard that is up */
struct guard *guard_new(struct world *w, uint32_t index);

/** guard_free() - free it */
void guard_free(struct guard *g);

/** guard_kill() - the process dies; links break */
void guard_kill(struct guard *g);

/** guard_restart() - a new process that knows nothing */
void guard_restart(struct guard *g);

/** guard_begin_drain() - planned stop and later restart */
void guard_begin_drain(struct guard *g);

/** guard_frozen_until_us() - end of its pause; in the past when not paused */
uint64_t guard_frozen_until_us(const struct guard *g);

/** guard_update_endpoint() - news of an endpoint has come */
void guard_update_endpoint(struct guard *g, uint32_t endpoint,
    const struct endpoint_announcement *announcement);

/** guard_accept() - a connection came */
void guard_accept(struct guard *g, struct link *l);

/** guard_link_lost() - a connection went */
void guard_link_lost(struct guard *g, struct link *l);

/** guard_receive() - a frame came */
void guard_receive(struct guard *g, struct link *l, const struct message *m);

/** guard_on_job_started() - its upstream has started a request */
void guard_on_job_started(struct guard *g);

/** guard_on_job_done() - its upstream has answered, or died (!@ok) */
void guard_on_job_done(struct guard *g, const struct job *j, bool ok);

#endif
