/*
 * Guard of the driver: runs the production modules for fates, admission, keys
 * and drain of one endpoint.
 */
#ifndef CALLS_GUARD_H
#define CALLS_GUARD_H

#include "link.h"
#include "upstream.h"

/**
 * struct guard - one guard and its upstream
 * @up: the process runs
 * @process: generation of the process; changes with each start and end
 * @incarnation: incarnation of the process, as announced in its hello
 * @skew_ms: offset of its monotonic clock from virtual time
 * @frozen_until_us: time until which the process is frozen
 * @drain_started_us: time at which its drain was announced; 0 if serving
 * @wake_us: time of the next scheduled admission run; 0 if none
 * @n_tickets: number of admission tickets issued
 * @seen_versions: newest announcement received from each guard
 * @view: state of each guard's endpoint as announced
 * @requests: request id to struct guard_request, for unsettled requests
 * @tickets: ticket to the same
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
 * struct guard_request - unsettled request
 * @ticket: its number in admission
 * @deadline_ms: deadline in the guard's time
 */
struct guard_request {
	struct request_id id;
	uint32_t call;
	uint64_t ticket;
	uint64_t deadline_ms;
	uint64_t started_ms;
	enum admission_class class;
};

/** guard_now_ms() - monotonic time of the guard */
uint64_t guard_now_ms(const struct guard *g);

/** guard_find() - find an unsettled request; NULL if there is none */
struct guard_request *
guard_find(const struct guard *g, const struct request_id *id);

/** guard_new_fates() - create an empty fate table for the current process */
struct fate_table *guard_new_fates(const struct guard *g);

/** guard_process_admission() - start or refuse the requests that admission has
 * decided */
void guard_process_admission(struct guard *g);

/** guard_admit() - offer a request to admission */
void guard_admit(struct guard *g, struct guard_request *r);

/** guard_refuse() - settle a request as refused and notify its waiters */
void guard_refuse(struct guard *g, struct guard_request *r,
    enum refusal refusal, uint64_t retry_after_ms);

/** guard_key_offer() - process a request with an idempotency key
 * (guard_key.c) */
void guard_key_offer(struct guard *g, struct guard_request *r);

/** guard_key_id() - key id of a call */
void guard_key_id(const struct client_call *c, struct key_id *key);

/** guard_send() - send a frame to a waiter */
void
guard_send(struct guard *g, const struct fate_waiter *to, struct message *m);

/** guard_response_call() - call that a stored response belongs to; frees
 * @answer */
uint32_t guard_response_call(GBytes *answer);

/** guard_remove_request() - remove a settled request */
void guard_remove_request(struct guard *g, struct guard_request *r);

/** guard_new() - create a guard with a running process */
struct guard *guard_new(struct world *w, uint32_t index);

/** guard_free() - free it */
void guard_free(struct guard *g);

/** guard_kill() - kill the process; its connections are reset */
void guard_kill(struct guard *g);

/** guard_restart() - start a new process without state */
void guard_restart(struct guard *g);

/** guard_begin_drain() - drain and stop the process, and restart it later */
void guard_begin_drain(struct guard *g);

/** guard_frozen_until_us() - end of the freeze; in the past if not frozen */
uint64_t guard_frozen_until_us(const struct guard *g);

/** guard_update_endpoint() - receive an announcement of an endpoint */
void guard_update_endpoint(struct guard *g, uint32_t endpoint,
    const struct endpoint_announcement *announcement);

/** guard_accept() - accept a connection */
void guard_accept(struct guard *g, struct link *l);

/** guard_link_lost() - a connection was lost */
void guard_link_lost(struct guard *g, struct link *l);

/** guard_receive() - receive a frame */
void guard_receive(struct guard *g, struct link *l, const struct message *m);

/** guard_on_job_started() - the upstream started a request */
void guard_on_job_started(struct guard *g);

/** guard_on_job_done() - the upstream responded, or was killed if !@ok */
void guard_on_job_done(struct guard *g, const struct job *j, bool ok);

#endif
