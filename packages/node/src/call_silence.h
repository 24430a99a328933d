/*
 * Whether a connection has gone silent: a decision, given only times.
 *
 * While something is awaited and nothing is heard, a ping is due; when the
 * ping too stays unanswered the connection counts as silent.  A process that
 * was itself paused first hears what waits for it: a tick that comes much too
 * late starts the wait anew.
 */
#ifndef CALL_SILENCE_H
#define CALL_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/** enum silence_action - what is due */
enum silence_action {
	SILENCE_NONE = 0,
	SILENCE_PING,
	SILENCE_LOST,
};

/**
 * struct call_silence - one connection
 * @ping_after_ms: quiet time after which a ping is due
 * @ping_timeout_ms: time that a ping may stay unanswered
 * @awaiting: something is awaited from the other side
 * @ping_pending: a ping is unanswered
 * @due_ms: when the next step is due; DEADLINE_NEVER
 */
struct call_silence {
	uint32_t ping_after_ms;
	uint32_t ping_timeout_ms;
	bool awaiting;
	bool ping_pending;
	uint64_t due_ms;
};

/** call_silence_init() - a connection from which nothing is awaited */
void call_silence_init(
    struct call_silence *s, uint32_t ping_after_ms, uint32_t ping_timeout_ms);

/** call_silence_await() - whether something is awaited from now on */
void call_silence_await(struct call_silence *s, bool awaiting, uint64_t now_ms);

/** call_silence_received() - something was received */
void call_silence_received(struct call_silence *s, uint64_t now_ms);

/** call_silence_tick() - the time named by @due_ms has come */
enum silence_action call_silence_tick(struct call_silence *s, uint64_t now_ms);

#endif
