/*
 * Connections between an entry and a guard: ordered, delayed, and apt to
 * break, to fall silent, and to deliver what was sent before an end closed.
 */
#ifndef CALLS_LINK_H
#define CALLS_LINK_H

#include "world.h"

enum message_kind {
	MESSAGE_HELLO = 0,
	MESSAGE_REQUEST,
	MESSAGE_RESOLVE,
	MESSAGE_CANCEL,
	MESSAGE_RESOLVED,
	MESSAGE_REFUSED,
	MESSAGE_FAILED,
	MESSAGE_HEAD,
	MESSAGE_RESPONSE,
};

/**
 * struct message - a frame
 * @call: the call it belongs to, by the entry's numbering
 * @answered_call: ANSWER: the request that ran
 * @sent_ms: the sender's time; @echo_ms: the guard's time from its hello
 * @age_ms: RESOLVE: how long ago the attempt was sent
 */
struct message {
	enum message_kind kind;
	uint32_t call;
	uint32_t answered_call;
	uint32_t stream;
	struct request_id id;
	uint64_t incarnation;
	uint64_t sent_ms;
	uint64_t echo_ms;
	uint64_t remaining_ms;
	uint64_t age_ms;
	bool cancel;
	enum resolution resolution;
	enum refusal refusal;
	uint64_t retry_after_ms;
	struct load_report load;
};

/** struct waiting_send - an action that waits for the guard's hello */
struct pending_send {
	uint32_t call;
	struct call_action action;
};

/**
 * struct link - one connection
 * @entry_process, @guard_process: generations of the ends' processes
 * @up: the guard's hello has come
 * @closed: the entry has given it up; what it sent is still delivered
 * @broken: nothing is delivered any more, in either direction
 */
struct link {
	struct world *world;
	uint64_t number;
	uint32_t entry;
	uint32_t guard;
	uint64_t entry_process;
	uint64_t guard_process;
	bool up;
	bool closed;
	bool broken;
	uint64_t incarnation;
	uint64_t hello_ms;
	struct frame_age age;
	uint64_t last_to_guard_us;
	uint64_t last_to_entry_us;
	GArray *pending;
};

/** link_connect() - open a connection; a hello or entry_link_lost() follows */
struct link *link_connect(struct world *w, uint32_t entry, uint32_t guard);

/** link_to_guard() - send a frame */
void link_to_guard(struct link *l, const struct message *m);

/** link_to_entry() - send a frame */
void link_to_entry(struct link *l, const struct message *m);

/** link_reset() - reset: both ends learn, frames under way are lost */
void link_reset(struct link *l);

/** link_drop_frames() - frames vanish; the entry's heartbeat finds out */
void link_drop_frames(struct link *l);

/** link_start_timeout() - the entry's heartbeat gives the link up after a time
 */
void link_start_timeout(struct link *l);

/** link_close() - the guard's process ends in order: what it sent arrives */
void link_close(struct link *l);

/** link_stall() - frames to the guard are held up for a time */
void link_stall(struct link *l, uint64_t for_us);

/** link_free() - for the list of links */
void link_free(void *l);

#endif
