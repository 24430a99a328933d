/*
 * A call as a caller's worker and the entry thread share it.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <time.h>

#include "base/clock.h"

#include "call_exchange.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* Consumed bytes that are worth waking the entry for. */
#define NOTIFY_CONSUMED_BYTES 65536

/**
 * struct exchange_way - a body on its way in one direction
 * @pieces: GBytes that wait
 * @bytes: their bytes
 * @end: how the body ended, behind what waits
 */
struct exchange_way {
	GQueue pieces;
	uint32_t bytes;
	enum exchange_end end;
};

/**
 * struct call_exchange - see call_exchange.h
 * @refs: references
 * @request: the request
 * @notify: whom to tell of news from the worker
 * @notify_arg: its argument
 * @bound: the entry thread's record of the call
 * @mutex: guards what follows
 * @changed: the worker waits on it
 * @up: the request's body
 * @down: the answer's body
 * @answer: head of the answer, or NULL
 * @consumed_bytes: bytes consumed since the entry looked
 * @wake_fd: socket that the worker may block on, or -1
 * @accepted: the body is wanted
 * @awaits_accept: the worker waits for that
 * @gone: the caller is gone
 * @notified: the entry was told and has not looked yet
 */
struct call_exchange {
	_Atomic uint32_t refs;
	struct call_request request;
	exchange_notify_fn *notify;
	void *notify_arg;
	void *bound;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct exchange_way up;
	struct exchange_way down;
	struct call_answer *answer;
	uint32_t consumed_bytes;
	int wake_fd;
	bool accepted;
	bool awaits_accept;
	bool gone;
	bool notified;
};

struct call_answer *
call_answer_new(enum outcome outcome, uint32_t status)
{
	struct call_answer *a = g_new0(struct call_answer, 1);

	a->outcome = outcome;
	a->status = status;
	call_headers_init(&a->headers);
	return a;
}

void
call_answer_free(struct call_answer *a)
{
	if (a == NULL)
		return;
	call_headers_clear(&a->headers);
	g_free(a->message);
	g_free(a);
}

struct call_exchange *
call_exchange_new(void)
{
	struct call_exchange *x = g_new0(struct call_exchange, 1);
	pthread_condattr_t attr;

	x->refs = 1;
	x->wake_fd = -1;
	call_headers_init(&x->request.headers);
	x->request.deadline_ms = DEADLINE_NEVER;
	pthread_mutex_init(&x->mutex, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&x->changed, &attr);
	pthread_condattr_destroy(&attr);
	g_queue_init(&x->up.pieces);
	g_queue_init(&x->down.pieces);
	return x;
}

struct call_exchange *
call_exchange_ref(struct call_exchange *x)
{
	atomic_fetch_add_explicit(&x->refs, 1, memory_order_relaxed);
	return x;
}

static void
way_clear(struct exchange_way *way)
{
	GBytes *piece;

	while ((piece = g_queue_pop_head(&way->pieces)) != NULL)
		g_bytes_unref(piece);
}

void
call_exchange_unref(struct call_exchange *x)
{
	if (atomic_fetch_sub_explicit(&x->refs, 1, memory_order_acq_rel) != 1)
		return;
	way_clear(&x->up);
	way_clear(&x->down);
	call_answer_free(x->answer);
	call_headers_clear(&x->request.headers);
	g_free(x->request.path);
	g_free(x->request.key);
	pthread_cond_destroy(&x->changed);
	pthread_mutex_destroy(&x->mutex);
	g_free(x);
}

struct call_request *
call_exchange_request(struct call_exchange *x)
{
	return &x->request;
}

static void
way_add(struct exchange_way *way, GBytes *piece)
{
	way->bytes += (uint32_t)g_bytes_get_size(piece);
	g_queue_push_tail(&way->pieces, piece);
}

static GBytes *
way_take(struct exchange_way *way)
{
	GBytes *piece = g_queue_pop_head(&way->pieces);

	if (piece != NULL)
		way->bytes -= (uint32_t)g_bytes_get_size(piece);
	return piece;
}

void
call_exchange_attach(struct call_exchange *x, exchange_notify_fn *fn, void *arg)
{
	x->notify = fn;
	x->notify_arg = arg;
}

/* Unlocks; tells the entry unless it was told already. */
static void
unlock_and_notify(struct call_exchange *x)
{
	bool tell = x->notify != NULL && !x->notified;

	if (tell)
		x->notified = true;
	pthread_mutex_unlock(&x->mutex);
	if (tell)
		x->notify(x, x->notify_arg);
}

bool
call_exchange_put(struct call_exchange *x, const uint8_t *data, size_t len)
{
	GBytes *piece = g_bytes_new(data, len);

	pthread_mutex_lock(&x->mutex);
	while (x->up.bytes >= EXCHANGE_UP_BYTES && x->answer == NULL)
		pthread_cond_wait(&x->changed, &x->mutex);
	if (x->answer != NULL) {
		pthread_mutex_unlock(&x->mutex);
		g_bytes_unref(piece);
		return false;
	}
	way_add(&x->up, piece);
	unlock_and_notify(x);
	return true;
}

void
call_exchange_put_end(struct call_exchange *x, enum exchange_end end)
{
	pthread_mutex_lock(&x->mutex);
	x->up.end = end;
	unlock_and_notify(x);
}

bool
call_exchange_accepted(struct call_exchange *x)
{
	bool wanted;

	pthread_mutex_lock(&x->mutex);
	x->awaits_accept = true;
	while (!x->accepted && x->answer == NULL)
		pthread_cond_wait(&x->changed, &x->mutex);
	wanted = x->answer == NULL;
	pthread_mutex_unlock(&x->mutex);
	return wanted;
}

bool
call_exchange_reading(struct call_exchange *x, int fd)
{
	bool wanted;

	pthread_mutex_lock(&x->mutex);
	wanted = x->answer == NULL;
	x->wake_fd = fd;
	pthread_mutex_unlock(&x->mutex);
	return wanted;
}

bool
call_exchange_answered(struct call_exchange *x)
{
	bool answered;

	pthread_mutex_lock(&x->mutex);
	answered = x->answer != NULL;
	pthread_mutex_unlock(&x->mutex);
	return answered;
}

static struct timespec
wait_until(uint32_t wait_ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += wait_ms / MS_PER_S;
	ts.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (ts.tv_nsec >= (long)MS_PER_S * NS_PER_MS) {
		ts.tv_sec++;
		ts.tv_nsec -= (long)MS_PER_S * NS_PER_MS;
	}
	return ts;
}

const struct call_answer *
call_exchange_wait(struct call_exchange *x, uint32_t wait_ms)
{
	struct timespec until = wait_until(wait_ms);
	const struct call_answer *a;
	int err = 0;

	pthread_mutex_lock(&x->mutex);
	while (x->answer == NULL && err == 0)
		err = pthread_cond_timedwait(&x->changed, &x->mutex, &until);
	a = x->answer;
	pthread_mutex_unlock(&x->mutex);
	return a;
}

GBytes *
call_exchange_get(
    struct call_exchange *x, uint32_t wait_ms, enum exchange_end *end)
{
	struct timespec until = wait_until(wait_ms);
	GBytes *piece;
	int err = 0;

	pthread_mutex_lock(&x->mutex);
	while (g_queue_is_empty(&x->down.pieces) &&
	    x->down.end == EXCHANGE_OPEN && err == 0)
		err = pthread_cond_timedwait(&x->changed, &x->mutex, &until);
	piece = way_take(&x->down);
	if (piece == NULL) {
		*end = x->down.end;
		pthread_mutex_unlock(&x->mutex);
		return NULL;
	}
	x->consumed_bytes += (uint32_t)g_bytes_get_size(piece);
	if (x->consumed_bytes >= NOTIFY_CONSUMED_BYTES &&
	    x->down.end == EXCHANGE_OPEN)
		unlock_and_notify(x);
	else
		pthread_mutex_unlock(&x->mutex);
	return piece;
}

void
call_exchange_hang_up(struct call_exchange *x)
{
	pthread_mutex_lock(&x->mutex);
	x->gone = true;
	unlock_and_notify(x);
}

void
call_exchange_accept(struct call_exchange *x)
{
	bool awaited;

	pthread_mutex_lock(&x->mutex);
	x->accepted = true;
	awaited = x->awaits_accept;
	pthread_mutex_unlock(&x->mutex);
	if (awaited)
		pthread_cond_signal(&x->changed);
}

void
call_exchange_look(struct call_exchange *x, struct exchange_news *news)
{
	pthread_mutex_lock(&x->mutex);
	x->notified = false;
	news->up_bytes = x->up.bytes;
	news->up_end = x->up.end;
	news->consumed_bytes = x->consumed_bytes;
	news->gone = x->gone;
	x->consumed_bytes = 0;
	pthread_mutex_unlock(&x->mutex);
}

GBytes *
call_exchange_take(struct call_exchange *x)
{
	GBytes *piece;

	pthread_mutex_lock(&x->mutex);
	piece = way_take(&x->up);
	pthread_mutex_unlock(&x->mutex);
	if (piece != NULL)
		pthread_cond_signal(&x->changed);
	return piece;
}

void
call_exchange_answer(struct call_exchange *x, struct call_answer *a,
    GQueue *pieces, enum exchange_end end)
{
	GBytes *piece;

	pthread_mutex_lock(&x->mutex);
	x->answer = a;
	x->down.end = end;
	while (pieces != NULL && (piece = g_queue_pop_head(pieces)) != NULL)
		way_add(&x->down, piece);
	if (x->wake_fd >= 0)
		(void)shutdown(x->wake_fd, SHUT_RD);
	pthread_mutex_unlock(&x->mutex);
	pthread_cond_signal(&x->changed);
}

void
call_exchange_give(struct call_exchange *x, GBytes *piece)
{
	pthread_mutex_lock(&x->mutex);
	way_add(&x->down, piece);
	pthread_mutex_unlock(&x->mutex);
	pthread_cond_signal(&x->changed);
}

void
call_exchange_finish(struct call_exchange *x, enum exchange_end end)
{
	pthread_mutex_lock(&x->mutex);
	x->down.end = end;
	pthread_mutex_unlock(&x->mutex);
	pthread_cond_signal(&x->changed);
}

void
call_exchange_bind(struct call_exchange *x, void *bound)
{
	x->bound = bound;
}

void *
call_exchange_bound(const struct call_exchange *x)
{
	return x->bound;
}
