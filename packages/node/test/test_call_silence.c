/*
 * Tests of the silence detection of a connection.
 */
#include "base/clock.h"

#include "call_silence.h"
#include "fixture.h"

#define PING_AFTER_MS 200
#define PING_TIMEOUT_MS 400

static struct call_silence
awaiting(uint64_t now_ms)
{
	struct call_silence s;

	call_silence_init(&s, PING_AFTER_MS, PING_TIMEOUT_MS);
	call_silence_await(&s, true, now_ms);
	return s;
}

START_TEST(nothing_is_due_while_nothing_is_awaited)
{
	struct call_silence s = awaiting(1000);

	call_silence_await(&s, false, 1100);
	ck_assert_uint_eq(s.due_ms, DEADLINE_NEVER);
	ck_assert_int_eq(call_silence_tick(&s, 9000), SILENCE_NONE);
}
END_TEST

START_TEST(a_quiet_connection_is_pinged_then_lost)
{
	struct call_silence s = awaiting(1000);

	ck_assert_int_eq(call_silence_tick(&s, 1199), SILENCE_NONE);
	ck_assert_int_eq(call_silence_tick(&s, 1200), SILENCE_PING);
	ck_assert_uint_eq(s.due_ms, 1600);
	ck_assert_int_eq(call_silence_tick(&s, 1600), SILENCE_LOST);
}
END_TEST

START_TEST(received_data_restarts_the_wait)
{
	struct call_silence s = awaiting(1000);

	ck_assert_int_eq(call_silence_tick(&s, 1200), SILENCE_PING);
	call_silence_received(&s, 1500);
	ck_assert_int_eq(call_silence_tick(&s, 1600), SILENCE_NONE);
	ck_assert_int_eq(call_silence_tick(&s, 1700), SILENCE_PING);
}
END_TEST

/* The answer may be unread in the socket buffer, so another ping is sent. */
START_TEST(pause_of_this_process_is_not_silence)
{
	struct call_silence s = awaiting(1000);

	ck_assert_int_eq(call_silence_tick(&s, 1200), SILENCE_PING);
	ck_assert_int_eq(call_silence_tick(&s, 61000), SILENCE_PING);
	ck_assert_int_eq(call_silence_tick(&s, 61400), SILENCE_LOST);
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {nothing_is_due_while_nothing_is_awaited,
	    a_quiet_connection_is_pinged_then_lost,
	    received_data_restarts_the_wait,
	    pause_of_this_process_is_not_silence, NULL};

	return fixture_main("call silence", tests);
}
