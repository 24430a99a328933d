/*
 * Tests of the event loop.
 */
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "net/loop.h"
#include "support.h"

#define POSTS 10000

static struct loop *loop;
static GString *trace;

static void
setup(void)
{
	loop = loop_new();
	ck_assert_ptr_nonnull(loop);
	trace = g_string_new(NULL);
}

static void
teardown(void)
{
	loop_free(loop);
	g_string_free(trace, TRUE);
}

static void
note(void *arg)
{
	g_string_append_c(trace, (char)GPOINTER_TO_INT(arg));
}

static void
stop(void *arg)
{
	(void)arg;
	loop_stop(loop);
}

START_TEST(timers_fire_in_order_of_deadline)
{
	uint64_t now_ms = loop_now_ms(loop);
	struct loop_timer a, b, c, d, end;

	loop_timer_init(&a, loop, note, GINT_TO_POINTER('a'));
	loop_timer_init(&b, loop, note, GINT_TO_POINTER('b'));
	loop_timer_init(&c, loop, note, GINT_TO_POINTER('c'));
	loop_timer_init(&d, loop, note, GINT_TO_POINTER('d'));
	loop_timer_init(&end, loop, stop, NULL);
	loop_timer_set(&c, now_ms + 4);
	loop_timer_set(&a, now_ms + 30);
	loop_timer_set(&b, now_ms + 2);
	loop_timer_set(&d, now_ms + 3);
	loop_timer_set(&a, now_ms + 1);
	loop_timer_stop(&d);
	loop_timer_set(&end, now_ms + 5);
	ck_assert(loop_timer_is_set(&a) && !loop_timer_is_set(&d));
	loop_run(loop);
	ck_assert_str_eq(trace->str, "abc");
	ck_assert_uint_ge(loop_now_ms(loop), now_ms + 5);
}
END_TEST

static struct loop_timer again;
static int again_count;

static void
set_again(void *arg)
{
	(void)arg;
	if (++again_count < 3)
		loop_timer_set(&again, 0);
	else
		loop_stop(loop);
}

START_TEST(timer_set_in_the_past_does_not_block_the_turn)
{
	again_count = 0;
	loop_timer_init(&again, loop, set_again, NULL);
	loop_timer_set(&again, 0);
	loop_run_once(loop, 0);
	ck_assert_int_eq(again_count, 1);
	loop_run(loop);
	ck_assert_int_eq(again_count, 3);
}
END_TEST

static struct loop_task task_a, task_b;

static void
defer_both(void *arg)
{
	note(arg);
	loop_task_defer(&task_a);
	loop_task_defer(&task_a);
	loop_task_defer(&task_b);
	loop_task_cancel(&task_b);
}

START_TEST(tasks_run_once_at_the_end_of_the_turn)
{
	struct loop_timer t;

	loop_task_init(&task_a, loop, note, GINT_TO_POINTER('a'));
	loop_task_init(&task_b, loop, note, GINT_TO_POINTER('b'));
	loop_timer_init(&t, loop, defer_both, GINT_TO_POINTER('t'));
	loop_timer_set(&t, 0);
	loop_run_once(loop, 0);
	ck_assert_str_eq(trace->str, "ta");
	loop_run_once(loop, 0);
	ck_assert_str_eq(trace->str, "ta");
}
END_TEST

static int posted_count[2];

static void
count_post(void *arg)
{
	int *last = arg;

	(*last)++;
	if (posted_count[0] == POSTS && posted_count[1] == POSTS)
		loop_stop(loop);
}

static void *
post_many(void *arg)
{
	int i;

	for (i = 0; i < POSTS; i++)
		loop_post(loop, count_post, arg);
	return NULL;
}

START_TEST(posts_of_all_threads_arrive)
{
	pthread_t a, b;

	posted_count[0] = posted_count[1] = 0;
	ck_assert_int_eq(
	    pthread_create(&a, NULL, post_many, &posted_count[0]), 0);
	ck_assert_int_eq(
	    pthread_create(&b, NULL, post_many, &posted_count[1]), 0);
	loop_run(loop);
	(void)pthread_join(a, NULL);
	(void)pthread_join(b, NULL);
	ck_assert_int_eq(posted_count[0], POSTS);
	ck_assert_int_eq(posted_count[1], POSTS);
}
END_TEST

START_TEST(functions_posted_before_stop_run)
{
	loop_post(loop, note, GINT_TO_POINTER('1'));
	loop_stop(loop);
	loop_post(loop, note, GINT_TO_POINTER('2'));
	loop_run(loop);
	ck_assert_str_eq(trace->str, "12");
}
END_TEST

static struct loop_fd *other;

static void
remove_other(uint32_t ready, void *arg)
{
	struct loop_fd **self = arg;

	ck_assert_uint_eq(ready, LOOP_READ);
	note(GINT_TO_POINTER('r'));
	loop_fd_set(*self, 0);
	if (other != NULL)
		loop_fd_remove(other);
	other = NULL;
}

START_TEST(removed_descriptor_is_not_served_in_the_same_turn)
{
	struct loop_fd *a = NULL, *b = NULL;
	uint64_t until_ms;
	int p[2], q[2];

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, p), 0);
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, q), 0);
	a = loop_fd_add(loop, p[0], LOOP_READ, remove_other, &a);
	b = loop_fd_add(loop, q[0], LOOP_READ, remove_other, &a);
	other = b;
	(void)close(p[1]);
	ck_assert_int_eq(write(q[1], "x", 1), 1);
	loop_run_once(loop, 0);
	ck_assert_str_eq(trace->str, "r");
	/* A hang-up on a disabled watcher must not wake the loop. */
	until_ms = loop_now_ms(loop) + 5;
	loop_run_once(loop, until_ms);
	ck_assert_uint_ge(loop_now_ms(loop), until_ms);
	ck_assert_str_eq(trace->str, "r");
	loop_fd_remove(a);
	(void)close(p[0]);
	(void)close(q[0]);
	(void)close(q[1]);
}
END_TEST

static void
count_ready(uint32_t ready, void *arg)
{
	(void)ready;
	(*(int *)arg)++;
}

/* Guards against a listener that is never served again after the system has
 * once refused to watch it. */
START_TEST(rejected_watch_is_retried)
{
	struct loop_fd *w;
	int p[2], away, served = 0;

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, p), 0);
	w = loop_fd_add(loop, p[0], LOOP_READ, count_ready, &served);
	loop_fd_set(w, 0);
	away = dup(p[0]);
	(void)close(p[0]);
	loop_fd_set(w, LOOP_READ);
	ck_assert_int_eq(dup2(away, p[0]), p[0]);
	ck_assert_int_eq(write(p[1], "x", 1), 1);
	support_run_for(loop, 300);
	ck_assert_int_gt(served, 0);
	loop_fd_remove(w);
	(void)close(p[0]);
	(void)close(p[1]);
	(void)close(away);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("loop");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, timers_fire_in_order_of_deadline);
	tcase_add_test(tc, timer_set_in_the_past_does_not_block_the_turn);
	tcase_add_test(tc, tasks_run_once_at_the_end_of_the_turn);
	tcase_add_test(tc, posts_of_all_threads_arrive);
	tcase_add_test(tc, functions_posted_before_stop_run);
	tcase_add_test(tc, removed_descriptor_is_not_served_in_the_same_turn);
	tcase_add_test(tc, rejected_watch_is_retried);
	return support_run("loop", tc);
}
