/*
 * Silence detection of a connection.
 */
#include "base/clock.h"

#include "call_silence.h"

void
call_silence_init(
    struct call_silence *s, uint32_t ping_after_ms, uint32_t ping_timeout_ms)
{
	s->ping_after_ms = ping_after_ms;
	s->ping_timeout_ms = ping_timeout_ms;
	s->awaiting = false;
	s->ping_pending = false;
	s->due_ms = DEADLINE_NEVER;
}

void
call_silence_await(struct call_silence *s, bool awaiting, uint64_t now_ms)
{
	if (awaiting == s->awaiting)
		return;
	s->awaiting = awaiting;
	s->ping_pending = false;
	s->due_ms = awaiting ? now_ms + s->ping_after_ms : DEADLINE_NEVER;
}

void
call_silence_received(struct call_silence *s, uint64_t now_ms)
{
	s->ping_pending = false;
	if (s->awaiting)
		s->due_ms = now_ms + s->ping_after_ms;
}

enum silence_action
call_silence_tick(struct call_silence *s, uint64_t now_ms)
{
	if (!s->awaiting || now_ms < s->due_ms)
		return SILENCE_NONE;
	if (s->ping_pending && now_ms < s->due_ms + s->ping_timeout_ms / 2) {
		s->due_ms = DEADLINE_NEVER;
		return SILENCE_LOST;
	}
	/* No ping is pending, or this process was paused. */
	s->ping_pending = true;
	s->due_ms = now_ms + s->ping_timeout_ms;
	return SILENCE_PING;
}
