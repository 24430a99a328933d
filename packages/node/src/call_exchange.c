/*
 * The state of a call that the server for callers and the entry share.
 */
#include "call_exchange.h"

/* The entry is notified each time this many bytes were consumed. */
#define NOTIFY_CONSUMED_BYTES 32768

/**
 * struct exchange_body - the buffer of a body
 * @buffer: buffered bytes
 * @end: how the body ended
 */
struct exchange_body {
	struct body_buffer buffer;
	enum exchange_end end;
};

/**
 * struct exchange_observer - callback for changes by the other side
 * @fn: the callback, or NULL
 * @arg: passed to @fn
 * @task: calls @fn at the end of the loop's iteration
 */
struct exchange_observer {
	exchange_fn *fn;
	void *arg;
	struct loop_task task;
};

/**
 * struct call_exchange - a call
 * @refs: references
 * @request: the request
 * @caller: observer of the server for callers
 * @entry: observer of the entry
 * @held_fn: callback for changes of the memory, or NULL
 * @held_arg: passed to @held_fn
 * @entry_held_bytes: memory of the bodies at the entry
 * @request_body: the request's body
 * @answer_body: the answer's body
 * @answer: head of the answer, or NULL
 * @consumed_bytes: consumed by the caller since the last poll
 * @accepted: the entry reads the request's body
 * @disconnected: the caller has closed its connection
 * @entry_data: the entry's state of the call
 */
struct call_exchange {
	uint32_t refs;
	struct call_request request;
	struct exchange_observer caller;
	struct exchange_observer entry;
	exchange_fn *held_fn;
	void *held_arg;
	uint64_t entry_held_bytes;
	struct exchange_body request_body;
	struct exchange_body answer_body;
	struct call_answer *answer;
	uint32_t consumed_bytes;
	bool accepted;
	bool disconnected;
	void *entry_data;
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
notify_caller(void *arg)
{
	struct call_exchange *x = arg;

	if (x->caller.fn != NULL)
		x->caller.fn(x, x->caller.arg);
}

static void
notify_entry(void *arg)
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
	loop_task_init(&x->caller.task, loop, notify_caller, x);
	loop_task_init(&x->entry.task, loop, notify_entry, x);
	body_buffer_init(&x->request_body.buffer);
	body_buffer_init(&x->answer_body.buffer);
	return x;
}

struct call_exchange *
call_exchange_ref(struct call_exchange *x)
{
	x->refs++;
	return x;
}

void
call_exchange_unref(struct call_exchange *x)
{
	if (--x->refs > 0)
		return;
	loop_task_cancel(&x->caller.task);
	loop_task_cancel(&x->entry.task);
	body_buffer_clear(&x->request_body.buffer);
	body_buffer_clear(&x->answer_body.buffer);
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
defer_notify(struct exchange_observer *observer)
{
	if (observer->fn != NULL)
		loop_task_defer(&observer->task);
}

static void
notify_held(struct call_exchange *x)
{
	if (x->held_fn != NULL)
		x->held_fn(x, x->held_arg);
}

/* Side of the server for callers */

void
call_exchange_attach_caller(struct call_exchange *x, exchange_fn *fn, void *arg)
{
	x->caller.fn = fn;
	x->caller.arg = arg;
}

void
call_exchange_watch_held(struct call_exchange *x, exchange_fn *fn, void *arg)
{
	x->held_fn = fn;
	x->held_arg = arg;
}

uint64_t
call_exchange_held_bytes(const struct call_exchange *x)
{
	return x->request_body.buffer.held_bytes +
	    x->answer_body.buffer.held_bytes + x->entry_held_bytes;
}

bool
call_exchange_has_room(const struct call_exchange *x)
{
	return body_buffer_bytes(&x->request_body.buffer) <
	    EXCHANGE_REQUEST_BUFFER_BYTES;
}

bool
call_exchange_write_request(
    struct call_exchange *x, const uint8_t *data, size_t len)
{
	body_buffer_append(&x->request_body.buffer, data, len);
	notify_held(x);
	defer_notify(&x->entry);
	return call_exchange_has_room(x);
}

void
call_exchange_end_request(struct call_exchange *x, enum exchange_end end)
{
	x->request_body.end = end;
	defer_notify(&x->entry);
}

bool
call_exchange_is_accepted(const struct call_exchange *x)
{
	return x->accepted;
}

const struct call_answer *
call_exchange_answer_head(const struct call_exchange *x)
{
	return x->answer;
}

const uint8_t *
call_exchange_peek_answer(
    const struct call_exchange *x, size_t *len, enum exchange_end *end)
{
	const struct body_buffer *b = &x->answer_body.buffer;

	*end = x->answer_body.end;
	return body_buffer_at(b, b->first_bytes, len);
}

void
call_exchange_consume_answer(struct call_exchange *x, size_t len)
{
	struct body_buffer *b = &x->answer_body.buffer;

	body_buffer_release(b, b->first_bytes + len);
	notify_held(x);
	x->consumed_bytes += (uint32_t)len;
	if (x->consumed_bytes >= NOTIFY_CONSUMED_BYTES &&
	    x->answer_body.end == EXCHANGE_OPEN)
		defer_notify(&x->entry);
}

void
call_exchange_disconnect(struct call_exchange *x)
{
	x->disconnected = true;
	body_buffer_clear(&x->request_body.buffer);
	body_buffer_clear(&x->answer_body.buffer);
	defer_notify(&x->entry);
}

/* Side of the entry */

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
	defer_notify(&x->caller);
}

void
call_exchange_poll(struct call_exchange *x, struct exchange_events *events)
{
	events->request_body_bytes =
	    (uint32_t)body_buffer_bytes(&x->request_body.buffer);
	events->request_body_end = x->request_body.end;
	events->consumed_bytes = x->consumed_bytes;
	events->disconnected = x->disconnected;
	x->consumed_bytes = 0;
}

size_t
call_exchange_read_request(struct call_exchange *x, struct body_buffer *to)
{
	bool full = !call_exchange_has_room(x);
	size_t len = body_buffer_move(to, &x->request_body.buffer);

	if (full && call_exchange_has_room(x))
		defer_notify(&x->caller);
	return len;
}

void
call_exchange_begin_answer(struct call_exchange *x, struct call_answer *a,
    struct body_buffer *body, enum exchange_end end)
{
	x->answer = a;
	x->answer_body.end = end;
	while (
	    body != NULL && body_buffer_move(&x->answer_body.buffer, body) > 0)
		continue;
	defer_notify(&x->caller);
}

void
call_exchange_write_answer(
    struct call_exchange *x, const uint8_t *data, size_t len)
{
	body_buffer_append(&x->answer_body.buffer, data, len);
	notify_held(x);
	defer_notify(&x->caller);
}

void
call_exchange_end_answer(struct call_exchange *x, enum exchange_end end)
{
	x->answer_body.end = end;
	defer_notify(&x->caller);
}

void
call_exchange_set_entry_held(struct call_exchange *x, uint64_t bytes)
{
	if (bytes == x->entry_held_bytes)
		return;
	x->entry_held_bytes = bytes;
	notify_held(x);
}

void
call_exchange_set_entry_data(struct call_exchange *x, void *entry_data)
{
	x->entry_data = entry_data;
}

void *
call_exchange_entry_data(const struct call_exchange *x)
{
	return x->entry_data;
}
