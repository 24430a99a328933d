/*
 * A call as the server for callers and the entry share it.
 */
#include "call_exchange.h"

/* The entry is told of consumed bytes in pieces of this size. */
#define NOTIFY_CONSUMED_BYTES 32768

/**
 * struct exchange_way - a body on its way
 * @pieces: GBytes that wait
 * @bytes: bytes that wait
 * @end: how it ended
 */
struct exchange_way {
	GQueue pieces;
	uint32_t bytes;
	enum exchange_end end;
};

/**
 * struct exchange_side - who is told of the other side's doings
 * @fn: what is called
 * @arg: given to it
 * @task: calls it at the end of the turn
 */
struct exchange_side {
	exchange_fn *fn;
	void *arg;
	struct loop_task task;
};

/**
 * struct call_exchange - a call
 * @refs: references
 * @request: what was asked
 * @caller: the server for callers
 * @entry: the entry
 * @up: the request's body
 * @down: the answer's body
 * @answer: head of the answer
 * @consumed_bytes: consumed by the caller and not looked at
 * @accepted: the entry wants the body
 * @gone: the caller is gone
 * @bound: the entry's own
 */
struct call_exchange {
	uint32_t refs;
	struct call_request request;
	struct exchange_side caller;
	struct exchange_side entry;
	struct exchange_way up;
	struct exchange_way down;
	struct call_answer *answer;
	uint32_t consumed_bytes;
	bool accepted;
	bool gone;
	void *bound;
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

static void
tell_caller(void *arg)
{
	struct call_exchange *x = arg;

	if (x->caller.fn != NULL)
		x->caller.fn(x, x->caller.arg);
}

static void
tell_entry(void *arg)
{
	struct call_exchange *x = arg;

	if (x->entry.fn != NULL)
		x->entry.fn(x, x->entry.arg);
}

struct call_exchange *
call_exchange_new(struct loop *loop)
{
	struct call_exchange *x = g_new0(struct call_exchange, 1);

	x->refs = 1;
	x->request.deadline_ms = DEADLINE_NEVER;
	call_headers_init(&x->request.headers);
	loop_task_init(&x->caller.task, loop, tell_caller, x);
	loop_task_init(&x->entry.task, loop, tell_entry, x);
	g_queue_init(&x->up.pieces);
	g_queue_init(&x->down.pieces);
	return x;
}

struct call_exchange *
call_exchange_ref(struct call_exchange *x)
{
	x->refs++;
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
	if (--x->refs > 0)
		return;
	loop_task_cancel(&x->caller.task);
	loop_task_cancel(&x->entry.task);
	way_clear(&x->up);
	way_clear(&x->down);
	call_answer_free(x->answer);
	call_headers_clear(&x->request.headers);
	g_free(x->request.path);
	g_free(x->request.host);
	g_free(x->request.id);
	g_free(x->request.key);
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

static void
notify(struct exchange_side *side)
{
	if (side->fn != NULL)
		loop_task_defer(&side->task);
}

/* The caller's side */

void
call_exchange_attach_caller(struct call_exchange *x, exchange_fn *fn, void *arg)
{
	x->caller.fn = fn;
	x->caller.arg = arg;
}

bool
call_exchange_has_room(const struct call_exchange *x)
{
	return x->up.bytes < EXCHANGE_UP_BYTES;
}

bool
call_exchange_put(struct call_exchange *x, const uint8_t *data, size_t len)
{
	way_add(&x->up, g_bytes_new(data, len));
	notify(&x->entry);
	return call_exchange_has_room(x);
}

void
call_exchange_put_end(struct call_exchange *x, enum exchange_end end)
{
	x->up.end = end;
	notify(&x->entry);
}

bool
call_exchange_accepted(const struct call_exchange *x)
{
	return x->accepted;
}

const struct call_answer *
call_exchange_answered(const struct call_exchange *x)
{
	return x->answer;
}

GBytes *
call_exchange_get(struct call_exchange *x, enum exchange_end *end)
{
	GBytes *piece = way_take(&x->down);

	*end = x->down.end;
	if (piece == NULL)
		return NULL;
	x->consumed_bytes += (uint32_t)g_bytes_get_size(piece);
	if (x->consumed_bytes >= NOTIFY_CONSUMED_BYTES &&
	    x->down.end == EXCHANGE_OPEN)
		notify(&x->entry);
	return piece;
}

void
call_exchange_hang_up(struct call_exchange *x)
{
	x->gone = true;
	notify(&x->entry);
}

/* The entry's side */

void
call_exchange_attach_entry(struct call_exchange *x, exchange_fn *fn, void *arg)
{
	x->entry.fn = fn;
	x->entry.arg = arg;
}

void
call_exchange_accept(struct call_exchange *x)
{
	x->accepted = true;
	notify(&x->caller);
}

void
call_exchange_look(struct call_exchange *x, struct exchange_news *news)
{
	news->up_bytes = x->up.bytes;
	news->up_end = x->up.end;
	news->consumed_bytes = x->consumed_bytes;
	news->gone = x->gone;
	x->consumed_bytes = 0;
}

GBytes *
call_exchange_take(struct call_exchange *x)
{
	bool full = !call_exchange_has_room(x);
	GBytes *piece = way_take(&x->up);

	if (full && call_exchange_has_room(x))
		notify(&x->caller);
	return piece;
}

void
call_exchange_answer(struct call_exchange *x, struct call_answer *a,
    GQueue *pieces, enum exchange_end end)
{
	GBytes *piece;

	x->answer = a;
	x->down.end = end;
	while (pieces != NULL && (piece = g_queue_pop_head(pieces)) != NULL)
		way_add(&x->down, piece);
	notify(&x->caller);
}

void
call_exchange_give(struct call_exchange *x, GBytes *piece)
{
	way_add(&x->down, piece);
	notify(&x->caller);
}

void
call_exchange_finish(struct call_exchange *x, enum exchange_end end)
{
	x->down.end = end;
	notify(&x->caller);
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
