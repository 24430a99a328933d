/*
 * Operations on the platform's rows: carries out the store requests of one
 * struct signoff, and passes the answers to it.
 */
#include <glib.h>

#include "node/operation.h"

struct operation {
	struct loop *loop;
	struct store *store;
	struct signoff *signoff;
	struct bundle *bundle;
	struct loop_timer timer;
	struct operation_end end;
	operation_known_fn *known;
	operation_fn *fn;
	void *arg;
	uint32_t pending; /* requests to the store in flight */
	int finished;
};

/* One request to the store, with the token of its action. */
struct operation_step {
	struct operation *op;
	uint32_t token;
};

static void operation_pump(struct operation *op);

static struct operation_step *
step_new(struct operation *op, uint32_t token)
{
	struct operation_step *step = g_new0(struct operation_step, 1);

	step->op = op;
	step->token = token;
	op->pending++;
	return step;
}

static uint64_t
operation_now(const struct operation *op)
{
	return loop_now_ms(op->loop);
}

static void
operation_free(struct operation *op)
{
	loop_timer_stop(&op->timer);
	signoff_free(op->signoff);
	bundle_free(op->bundle);
	if (op->end.changes != NULL)
		g_bytes_unref(op->end.changes);
	g_free(op);
}

/* Ends a step; frees a finished operation after its last step. */
static void
step_end(struct operation_step *step)
{
	struct operation *op = step->op;

	g_free(step);
	op->pending--;
	if (!op->finished)
		operation_pump(op);
	else if (op->pending == 0)
		operation_free(op);
}

/* The answers to requests that are in flight at the end of an operation arrive
 * after @fn, which may have freed @arg. */
static void
update_known(struct operation *op)
{
	uint64_t seq, version;

	if (op->finished)
		return;
	op->known(&seq, &version, op->arg);
	signoff_known(op->signoff, seq, version);
}

static void
on_head(enum status st, const struct store_head *head, void *arg)
{
	struct operation_step *step = arg;

	update_known(step->op);
	signoff_on_head(
	    step->op->signoff, operation_now(step->op), step->token, st, head);
	step_end(step);
}

static void
on_versions(enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto, void *arg)
{
	struct operation_step *step = arg;

	update_known(step->op);
	signoff_on_versions(step->op->signoff, operation_now(step->op),
	    step->token, st, rows, n, upto);
	step_end(step);
}

static void
on_object(enum status st, const uint8_t *data, size_t len, void *arg)
{
	struct operation_step *step = arg;

	update_known(step->op);
	signoff_on_object(step->op->signoff, operation_now(step->op),
	    step->token, st, data, len);
	step_end(step);
}

static void
on_put(enum status st, void *arg)
{
	struct operation_step *step = arg;

	update_known(step->op);
	signoff_on_put(
	    step->op->signoff, operation_now(step->op), step->token, st);
	step_end(step);
}

static void
on_transact(enum status st, enum store_conflict which, void *arg)
{
	struct operation_step *step = arg;

	(void)which;
	update_known(step->op);
	signoff_on_transact(
	    step->op->signoff, operation_now(step->op), step->token, st);
	step_end(step);
}

/* Stores the rows being written, for the result of the operation. */
static void
record_write(struct operation *op, const struct signoff_action *a)
{
	op->end.head = a->head;
	op->end.version = a->version;
	op->end.wrote_version = a->has_version;
	if (op->end.changes != NULL)
		g_bytes_unref(op->end.changes);
	op->end.changes = a->content != NULL ? g_bytes_ref(a->content) : NULL;
}

static struct store_version
version_with_changes(const struct signoff_action *a)
{
	struct store_version v = a->version;
	gsize n = 0;

	if (a->content != NULL) {
		v.changes = g_bytes_get_data(a->content, &n);
		v.changes_bytes = (uint32_t)n;
	}
	return v;
}

static void
operation_transact(struct operation *op, const struct signoff_action *a)
{
	struct store_version v = version_with_changes(a);
	struct store_write w = {
	    .expected_seq = a->expected_seq,
	    .head = &a->head,
	    .version = a->has_version ? &v : NULL,
	};

	record_write(op, a);
	store_transact(
	    op->store, &w, a->deadline_ms, on_transact, step_new(op, a->token));
}

static void
operation_put(struct operation *op, const struct signoff_action *a)
{
	gsize n;
	const uint8_t *data = g_bytes_get_data(a->content, &n);

	store_put_object_once(op->store, a->key, data, n, a->deadline_ms,
	    on_put, step_new(op, a->token));
}

static void
operation_finish(struct operation *op)
{
	const struct signoff_outcome *o = signoff_outcome(op->signoff);

	op->finished = 1;
	loop_timer_stop(&op->timer);
	op->end.outcome = o;
	op->end.bundle = op->bundle;
	op->end.wrote = o->result == SIGNOFF_DONE && !o->repeated;
	if (op->end.wrote && op->end.changes != NULL) {
		gsize n;

		op->end.version.changes = g_bytes_get_data(op->end.changes, &n);
		op->end.version.changes_bytes = (uint32_t)n;
	}
	op->fn(&op->end, op->arg);
}

static void
operation_execute(struct operation *op, const struct signoff_action *a)
{
	switch (a->kind) {
	case SIGNOFF_READ_HEAD:
		store_read_head(
		    op->store, a->deadline_ms, on_head, step_new(op, a->token));
		break;
	case SIGNOFF_READ_VERSIONS:
		store_read_versions(op->store, a->from, a->to, a->deadline_ms,
		    on_versions, step_new(op, a->token));
		break;
	case SIGNOFF_GET_OBJECT:
		store_get_object(op->store, a->key, STORE_OBJECT_MAX_BYTES,
		    a->deadline_ms, on_object, step_new(op, a->token));
		break;
	case SIGNOFF_PUT_OBJECT:
		operation_put(op, a);
		break;
	case SIGNOFF_TRANSACT:
		operation_transact(op, a);
		break;
	case SIGNOFF_FINISH:
		operation_finish(op);
		break;
	}
}

/* Carries out all queued actions; frees the operation when it has finished and
 * no request is in flight. */
static void
operation_pump(struct operation *op)
{
	struct signoff_action a;

	while (!op->finished && signoff_action(op->signoff, &a)) {
		operation_execute(op, &a);
		signoff_action_clear(&a);
	}
	if (!op->finished)
		loop_timer_set(&op->timer, signoff_next_ms(op->signoff));
	else if (op->pending == 0)
		operation_free(op);
}

static void
operation_on_timer(void *arg)
{
	struct operation *op = arg;

	update_known(op);
	signoff_tick(op->signoff, operation_now(op));
	operation_pump(op);
}

static void
operation_begin(void *arg)
{
	struct operation *op = arg;

	signoff_start(op->signoff, operation_now(op));
	operation_pump(op);
}

enum status
operation_start(struct loop *loop, struct store *store,
    const struct signoff_request *req, struct bundle *bundle,
    operation_known_fn *known, operation_fn *fn, void *arg)
{
	struct signoff_request with_bundle = *req;
	struct operation *op;
	struct signoff *r;
	enum status st;

	with_bundle.bundle = bundle;
	st = signoff_new(&with_bundle, &r);
	if (st != STATUS_OK) {
		bundle_free(bundle);
		return st;
	}
	op = g_new0(struct operation, 1);
	op->loop = loop;
	op->store = store;
	op->signoff = r;
	op->bundle = bundle;
	op->known = known;
	op->fn = fn;
	op->arg = arg;
	loop_timer_init(&op->timer, loop, operation_on_timer, op);
	loop_post(loop, operation_begin, op);
	return STATUS_OK;
}
