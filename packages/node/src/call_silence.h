/*
 * Silence detection of a connection, as a function of the times passed in.
 *
 * While a message is awaited and none is received, a ping is due; when the ping
 * isn't answered either, the connection is silent.  After a pause of this
 * process the peer's messages may be unread in the socket buffer: a tick that
 * is late by half the ping timeout or more sends another ping instead.
 */
#ifndef CALL_SILENCE_H
#define CALL_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum silence_action - action that is due
 * @SILENCE_NONE: nothing
 * @SILENCE_PING: send a ping
 * @SILENCE_LOST: close the connection
 */
enum silence_action {
	SILENCE_NONE = 0,
	SILENCE_PING,
	SILENCE_LOST,
};

/**
 * struct call_silence - one connection
 * @ping_after_ms: time without a message after which a ping is due
 * @ping_timeout_ms: time within which a ping must be answered
 * @awaiting: a message of the peer is awaited
 * @ping_pending: a ping was sent and nothing received since
 * @due_ms: monotonic time of the next tick, or DEADLINE_NEVER
 */
struct call_silence {
	uint32_t ping_after_ms;
	uint32_t ping_timeout_ms;
	bool awaiting;
	bool ping_pending;
	uint64_t due_ms;
};

/** call_silence_init() - initialise; no message is awaited */
void call_silence_init(
    struct call_silence *s, uint32_t ping_after_ms, uint32_t ping_timeout_ms);

/** call_silence_await() - set whether a message is awaited */
void call_silence_await(struct call_silence *s, bool awaiting, uint64_t now_ms);

/** call_silence_received() - a message was received */
void call_silence_received(struct call_silence *s, uint64_t now_ms);

/** call_silence_tick() - get the action that is due; to be called at @due_ms */
enum silence_action call_silence_tick(struct call_silence *s, uint64_t now_ms);

#endif
