/*
 * Connections between an entry and a guard: ordered and delayed.  A connection
 * can be reset, can drop all frames, and delivers what was sent before an end
 * closed it.
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
 * struct message - frame
 * @call: call that the frame belongs to, by the entry's numbering
 * @answered_call: MESSAGE_RESPONSE: call whose request ran
 * @sent_ms: the sender's time
 * @echo_ms: the guard's time from its hello
 * @remaining_ms: MESSAGE_REQUEST: time left until the deadline
 * @age_ms: MESSAGE_RESOLVE: time since the attempt was sent
 * @cancel: MESSAGE_RESOLVE, MESSAGE_CANCEL: cancel the request if it has not
 *	started
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

/** struct pending_send - action to send once the guard's hello has arrived */
struct pending_send {
	uint32_t call;
	struct call_action action;
};

/**
 * struct link - one connection
 * @number: connection number, from 1
 * @entry_process: generation of the entry's process
 * @guard_process: generation of the guard's process
 * @up: the guard's hello has arrived
 * @closed: the entry has closed it; frames sent before are still delivered
 * @broken: no frame is delivered any more in either direction
 * @hello_ms: the guard's time in its hello
 * @age: estimate of the age of frames
 * @last_to_guard_us: arrival time of the last frame to the guard
 * @last_to_entry_us: arrival time of the last frame to the entry
 * @pending: struct pending_send
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

/** link_to_guard() - send a frame to the guard */
void link_to_guard(struct link *l, const struct message *m);

/** link_to_entry() - send a frame to the entry */
void link_to_entry(struct link *l, const struct message *m);

/** link_reset() - reset a connection: both ends are notified, frames in transit
 * are lost */
void link_reset(struct link *l);

/** link_drop_frames() - drop all frames until the heartbeat timeout closes the
 * connection */
void link_drop_frames(struct link *l);

/** link_start_timeout() - close the connection at the entry after the heartbeat
 * timeout */
void link_start_timeout(struct link *l);

/** link_close() - close a connection when the guard's process ends; frames sent
 * before are delivered */
void link_close(struct link *l);

/** link_stall() - delay frames to the guard by @for_us */
void link_stall(struct link *l, uint64_t for_us);

/** link_free() - free a connection, as a GDestroyNotify */
void link_free(void *l);

#endif
