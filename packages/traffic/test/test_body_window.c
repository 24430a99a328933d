/*
 * The window of a host's bodies under its expected load: uploads of 60 KB to a
 * host with 5 Mbit/s, and short calls behind them on the same link.  The same
 * load runs without a window, where each upload sends 64 KB at once.
 */
#include <check.h>

#include "traffic/body_window.h"

#include "test_run.h"

#define LINK_BYTES_PER_MS 625
#define FIRST_BYTES 16384
#define MOST_BYTES 65536
#define BODY_BYTES 61440
#define BODIES 80
#define EVERY_MS 115
#define RUN_MS 12000

/** struct flow - the link of the host, modelled as a queue of bytes */
struct flow {
	struct body_window w;
	struct body_share shares[BODIES];
	uint64_t queued[BODIES];
	GQueue order;
	uint64_t in_queue;
	uint64_t longest;
	uint32_t done;
};

static void
queue(struct flow *f, uint32_t i, uint64_t bytes)
{
	f->queued[i] += bytes;
	f->in_queue += bytes;
	g_queue_push_tail(&f->order, GUINT_TO_POINTER(i + 1));
	f->longest = MAX(f->longest, f->in_queue);
}

static void
grant(struct flow *f, uint64_t now_ms)
{
	struct body_share *s;
	uint32_t bytes;

	while ((s = body_window_next(&f->w, &bytes, now_ms)) != NULL)
		queue(f, (uint32_t)(s - f->shares), bytes);
}

/* Transmit what the link carries in a millisecond, in order of arrival. */
static void
transmit(struct flow *f, uint64_t now_ms)
{
	uint64_t left = LINK_BYTES_PER_MS, n;
	uint32_t i;

	while (left > 0 && !g_queue_is_empty(&f->order)) {
		i = GPOINTER_TO_UINT(g_queue_peek_head(&f->order)) - 1;
		n = MIN(left, f->queued[i]);
		f->queued[i] -= n;
		f->in_queue -= n;
		left -= n;
		body_window_received(&f->w, &f->shares[i], n, now_ms);
		if (f->queued[i] == 0)
			(void)g_queue_pop_head(&f->order);
		if (f->shares[i].open &&
		    f->shares[i].received_bytes == BODY_BYTES) {
			body_window_end(&f->w, &f->shares[i]);
			f->done++;
		}
	}
	grant(f, now_ms);
}

/* Uploads arrive in groups, as callers send them. */
static struct flow *
simulate(uint64_t first_bytes, uint64_t max_bytes)
{
	struct flow *f = g_new0(struct flow, 1);
	uint64_t now_ms;
	uint32_t n = 0;

	body_window_init(&f->w, max_bytes);
	g_queue_init(&f->order);
	for (now_ms = 0; now_ms < RUN_MS; now_ms++) {
		while (n < BODIES && now_ms / (4 * EVERY_MS) * 4 >= n) {
			body_window_open(&f->w, &f->shares[n], NULL, BODY_BYTES,
			    first_bytes, now_ms);
			queue(f, n, MIN(first_bytes, BODY_BYTES));
			body_window_request(&f->w, &f->shares[n], BODY_BYTES);
			n++;
		}
		grant(f, now_ms);
		transmit(f, now_ms);
		body_window_tick(&f->w, now_ms);
	}
	g_queue_clear(&f->order);
	return f;
}

/*
 * Four uploads at a time use 0.8 of the link: the bytes in its queue delay a
 * short call.
 */
START_TEST(short_calls_wait_less_behind_uploads)
{
	struct flow *naive = simulate(65536, UINT64_MAX);
	struct flow *windowed = simulate(FIRST_BYTES, MOST_BYTES);

	ck_assert_uint_ge(naive->longest / LINK_BYTES_PER_MS, 350);
	ck_assert_uint_le(windowed->longest / LINK_BYTES_PER_MS, 170);
	ck_assert_uint_eq(windowed->done, naive->done);
	ck_assert_uint_eq(windowed->w.in_flight_bytes, 0);
	g_free(naive);
	g_free(windowed);
}
END_TEST

START_TEST(slow_sender_does_not_block_others)
{
	struct body_share slow[4], quick;
	struct body_window w;
	uint32_t bytes;
	int i;

	body_window_init(&w, MOST_BYTES);
	for (i = 0; i < 4; i++)
		body_window_open(&w, &slow[i], NULL, BODY_WINDOW_LENGTH_UNKNOWN,
		    FIRST_BYTES, 0);
	body_window_open(&w, &quick, NULL, BODY_BYTES, FIRST_BYTES, 0);
	body_window_request(&w, &quick, BODY_BYTES);
	ck_assert_ptr_null(body_window_next(&w, &bytes, 0));
	body_window_received(&w, &quick, FIRST_BYTES, BODY_STALL_MS - 1);
	body_window_tick(&w, BODY_STALL_MS);
	ck_assert_ptr_eq(body_window_next(&w, &bytes, BODY_STALL_MS), &quick);
	/* A stalled body that receives bytes counts again. */
	body_window_received(&w, &slow[0], 1, BODY_STALL_MS);
	ck_assert_uint_eq(w.in_flight_bytes, bytes + FIRST_BYTES - 1);
	for (i = 0; i < 4; i++)
		body_window_end(&w, &slow[i]);
	body_window_end(&w, &quick);
	body_window_end(&w, &quick);
	ck_assert_uint_eq(w.in_flight_bytes, 0);
}
END_TEST

/* Grants don't exceed the length of the body. */
START_TEST(grants_do_not_exceed_the_body)
{
	struct body_window w;
	struct body_share s;
	uint64_t sum = 0;
	uint32_t bytes;

	body_window_init(&w, UINT64_MAX);
	body_window_open(&w, &s, NULL, BODY_BYTES, FIRST_BYTES, 0);
	body_window_request(&w, &s, 1000000);
	body_window_request(&w, &s, 1000000);
	while (body_window_next(&w, &bytes, 0) != NULL)
		sum += bytes;
	ck_assert_uint_eq(sum, BODY_BYTES - FIRST_BYTES);
	body_window_end(&w, &s);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("body_window");
	TCase *tc = tcase_create("body_window");

	tcase_add_test(tc, short_calls_wait_less_behind_uploads);
	tcase_add_test(tc, slow_sender_does_not_block_others);
	tcase_add_test(tc, grants_do_not_exceed_the_body);
	suite_add_tcase(s, tc);
	return test_run(s);
}
