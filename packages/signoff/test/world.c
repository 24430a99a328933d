/*
 * The fake platform and its messages.
 */
#include "world.h"

#include <string.h>

#include "base/clock.h"
#include "check_world.h"

#define LATENCY_MAX_MS 40
#define LATE_DELAY_MAX_MS 4000
#define OPERATION_TIMEOUT_MS 20000

struct event {
	uint64_t at_ms;
	struct actor *actor;
	struct signoff *r;
	bool is_request;
	bool drop_answer;
	struct signoff_action a;
	enum status st;
	struct store_head head;
	uint64_t upto;
	GBytes *object;
};

static void
event_free(void *data)
{
	struct event *e = data;

	if (e->a.content != NULL)
		g_bytes_unref(e->a.content);
	if (e->object != NULL)
		g_bytes_unref(e->object);
	g_free(e);
}

static void
row_free(void *data)
{
	struct row *row = data;

	g_bytes_unref(row->changes);
	g_free(row);
}

static void
actor_free(void *data)
{
	struct actor *actor = data;

	signoff_free(actor->r);
	bundle_free(actor->bundle);
	g_free(actor);
}

static void
bytes_unref(void *data)
{
	g_bytes_unref(data);
}

struct world *
world_new(uint32_t seed)
{
	struct world *w = g_new0(struct world, 1);

	w->rand = g_rand_new_with_seed(seed);
	w->now_ms = 1000;
	w->rows = g_ptr_array_new_with_free_func(row_free);
	w->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, bytes_unref);
	w->events = g_sequence_new(event_free);
	w->actors = g_ptr_array_new_with_free_func(actor_free);
	w->commits = g_array_new(FALSE, TRUE, sizeof(struct commit));
	return w;
}

static GHashTable *
copy_objects(GHashTable *objects)
{
	GHashTable *copy =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, bytes_unref);
	GHashTableIter iter;
	gpointer key, content;

	g_hash_table_iter_init(&iter, objects);
	while (g_hash_table_iter_next(&iter, &key, &content))
		g_hash_table_insert(copy, g_strdup(key), g_bytes_ref(content));
	return copy;
}

void
world_back_up(struct world *w)
{
	g_clear_pointer(&w->copy.objects, g_hash_table_unref);
	w->copy.head = w->head;
	w->copy.n_rows = w->rows->len;
	w->copy.n_commits = w->commits->len;
	w->copy.objects = copy_objects(w->objects);
}

void
world_restore(struct world *w)
{
	w->head = w->copy.head;
	g_ptr_array_set_size(w->rows, (gint)w->copy.n_rows);
	g_array_set_size(w->commits, w->copy.n_commits);
	g_hash_table_unref(w->objects);
	w->objects = copy_objects(w->copy.objects);
	g_ptr_array_set_size(w->actors, 0);
}

const struct row *
world_find_row(const struct world *w, uint64_t version)
{
	const struct row *row;
	guint i;

	for (i = 0; i < w->rows->len; i++) {
		row = g_ptr_array_index(w->rows, i);
		if (row->v.version == version)
			return row;
	}
	return NULL;
}

void
world_free(struct world *w)
{
	g_clear_pointer(&w->copy.objects, g_hash_table_unref);
	g_sequence_free(w->events);
	g_ptr_array_unref(w->actors);
	g_ptr_array_unref(w->rows);
	g_hash_table_unref(w->objects);
	g_array_unref(w->commits);
	g_rand_free(w->rand);
	g_free(w);
}

static int
compare_events(const void *a, const void *b, void *arg)
{
	const struct event *x = a, *y = b;

	(void)arg;
	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static struct event *
schedule(
    struct world *w, const struct event *like, uint64_t at_ms, bool is_request)
{
	struct event *e = g_new(struct event, 1);

	*e = *like;
	e->at_ms = at_ms;
	e->is_request = is_request;
	if (e->a.content != NULL)
		g_bytes_ref(e->a.content);
	if (e->object != NULL)
		g_bytes_ref(e->object);
	g_sequence_insert_sorted(w->events, e, compare_events, NULL);
	return e;
}

static uint64_t
latency(struct world *w)
{
	return (uint64_t)g_rand_int_range(w->rand, 1, LATENCY_MAX_MS);
}

static enum fault
next_fault(struct world *w)
{
	w->n_requests++;
	if (w->down_from != 0 && w->n_requests >= w->down_from)
		w->down = true;
	if (w->down)
		return g_rand_boolean(w->rand) ? FAULT_REJECTED
					       : FAULT_LOST_REQUEST;
	if (w->n_requests == w->fault_at)
		return w->fault;
	if ((uint32_t)g_rand_int_range(w->rand, 0, 100) >= w->fault_percent)
		return FAULT_NONE;
	return (enum fault)g_rand_int_range(w->rand, 1, FAULT_COUNT);
}

static bool
is_write(const struct signoff_action *a)
{
	return a->kind == SIGNOFF_TRANSACT || a->kind == SIGNOFF_PUT_OBJECT;
}

/* Sends a request with the next fault, which determines what is executed and
 * what the sender receives. */
static void
send_request(struct world *w, struct actor *actor, struct signoff_action *a)
{
	struct event e = {.actor = actor, .r = actor->r, .a = *a};
	enum fault fault = next_fault(w);
	uint64_t arrive_ms = w->now_ms + latency(w);

	if (a->kind == SIGNOFF_TRANSACT)
		actor->sent_head = a->head;
	if (w->rejection != STATUS_OK && a->kind == w->rejected_kind) {
		e.st = w->rejection;
		schedule(w, &e, arrive_ms, false);
		signoff_action_clear(a);
		return;
	}
	e.st = is_write(a) ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
	switch (fault) {
	case FAULT_REJECTED:
		e.st = STATUS_UNAVAILABLE;
		schedule(w, &e, arrive_ms, false);
		break;
	case FAULT_DOUBLED:
		schedule(w, &e, arrive_ms + latency(w), true)->drop_answer =
		    true;
		/* fall through */
	case FAULT_NONE:
		schedule(w, &e, arrive_ms, true);
		break;
	case FAULT_LATE:
		arrive_ms = a->deadline_ms +
		    (uint64_t)g_rand_int_range(w->rand, 1, LATE_DELAY_MAX_MS);
		/* fall through */
	case FAULT_LOST_ANSWER:
		schedule(w, &e, arrive_ms, true)->drop_answer = true;
		/* fall through */
	default:
		schedule(w, &e, a->deadline_ms, false);
		break;
	}
	signoff_action_clear(a);
}

static enum status
transact(struct world *w, const struct signoff_action *a)
{
	struct row *row;

	if (w->head.seq != a->expected_seq)
		return STATUS_CONFLICT;
	if (a->has_version && world_find_row(w, a->version.version) != NULL)
		return STATUS_CONFLICT;
	check_write(w, a);
	w->head = a->head;
	if (a->has_version) {
		row = g_new0(struct row, 1);
		row->v = a->version;
		row->changes = g_bytes_ref(a->content);
		g_ptr_array_add(w->rows, row);
	}
	return STATUS_OK;
}

/* Executes a request on the platform and answers, unless the answer is dropped.
 */
static void
handle_request(struct world *w, struct event *e)
{
	struct event answer = *e;
	GBytes *object;

	answer.st = STATUS_OK;
	answer.object = NULL;
	switch (e->a.kind) {
	case SIGNOFF_READ_HEAD:
		answer.head = w->head;
		if (w->head.seq == 0)
			answer.st = STATUS_NOT_FOUND;
		break;
	case SIGNOFF_READ_VERSIONS:
		/* Sometimes the answer covers only a part of the rows, as the
		 * platform's may. */
		answer.upto = e->a.to;
		if (e->a.to > e->a.from && g_rand_boolean(w->rand))
			answer.upto -= 1;
		break;
	case SIGNOFF_GET_OBJECT:
		object = g_hash_table_lookup(w->objects, e->a.key);
		answer.object = object;
		if (object == NULL)
			answer.st = STATUS_NOT_FOUND;
		break;
	case SIGNOFF_PUT_OBJECT:
		if (!g_hash_table_contains(w->objects, e->a.key))
			g_hash_table_insert(w->objects, g_strdup(e->a.key),
			    g_bytes_ref(e->a.content));
		break;
	default:
		answer.st = transact(w, &e->a);
		break;
	}
	if (e->drop_answer)
		return;
	schedule(w, &answer, w->now_ms + latency(w), false);
	if (g_rand_int_range(w->rand, 0, 10) == 0)
		schedule(w, &answer, w->now_ms + latency(w), false);
}

static void
deliver_rows(struct world *w, const struct event *e)
{
	struct store_version rows[STORE_VERSIONS_MAX];
	const struct row *row;
	uint32_t n = 0;
	uint64_t v;

	for (v = e->a.from; v <= e->upto; v++) {
		row = world_find_row(w, v);
		if (row == NULL)
			continue;
		rows[n] = row->v;
		rows[n].changes = g_bytes_get_data(row->changes, NULL);
		rows[n].changes_bytes =
		    (uint32_t)g_bytes_get_size(row->changes);
		n++;
	}
	signoff_on_versions(
	    e->r, w->now_ms, e->a.token, e->st, rows, n, e->upto);
}

/* Blind retry: starts once more, whatever the outcome of the write. */
static void
restart_with_new_op(struct world *w, struct actor *actor)
{
	struct signoff_request req = actor->req;

	g_snprintf(
	    req.op, sizeof(req.op), "%s.%u", actor->req.op, actor->n_starts++);
	req.fresh = true;
	signoff_free(actor->r);
	g_assert(signoff_new(&req, &actor->r) == STATUS_OK);
	signoff_start(actor->r, w->now_ms);
}

static void
deliver_answer(struct world *w, const struct event *e)
{
	const uint8_t *data = NULL;
	size_t len = 0;

	if (e->actor->r != e->r)
		return;
	if (e->object != NULL)
		data = g_bytes_get_data(e->object, &len);
	switch (e->a.kind) {
	case SIGNOFF_READ_HEAD:
		signoff_on_head(e->r, w->now_ms, e->a.token, e->st, &e->head);
		break;
	case SIGNOFF_READ_VERSIONS:
		deliver_rows(w, e);
		break;
	case SIGNOFF_GET_OBJECT:
		signoff_on_object(
		    e->r, w->now_ms, e->a.token, e->st, data, len);
		break;
	case SIGNOFF_PUT_OBJECT:
		signoff_on_put(e->r, w->now_ms, e->a.token, e->st);
		break;
	default:
		if (e->actor->naive && e->st == STATUS_UNKNOWN)
			restart_with_new_op(w, e->actor);
		else
			signoff_on_transact(e->r, w->now_ms, e->a.token, e->st);
		break;
	}
}

/* Executes the actions of an operation. */
static void
send_actions(struct world *w, struct actor *actor)
{
	struct signoff_action a;

	while (signoff_action(actor->r, &a)) {
		if (a.kind == SIGNOFF_FINISH)
			actor->outcome = *signoff_outcome(actor->r);
		else
			send_request(w, actor, &a);
	}
}

/* The actor with the next timer, or NULL. */
static struct actor *
next_timer(const struct world *w, uint64_t *at_ms)
{
	struct actor *actor, *first = NULL;
	uint32_t i;

	*at_ms = DEADLINE_NEVER;
	for (i = 0; i < w->actors->len; i++) {
		actor = g_ptr_array_index(w->actors, i);
		if (signoff_next_ms(actor->r) < *at_ms) {
			first = actor;
			*at_ms = signoff_next_ms(actor->r);
		}
	}
	return first;
}

bool
world_step(struct world *w)
{
	GSequenceIter *iter;
	struct actor *actor;
	struct event *e;
	uint64_t at_ms;

	actor = next_timer(w, &at_ms);
	iter = g_sequence_get_begin_iter(w->events);
	e = g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
	if (e == NULL && actor == NULL)
		return false;
	if (e != NULL && e->at_ms == at_ms && g_rand_boolean(w->rand))
		e = NULL;
	if (e != NULL && e->at_ms <= at_ms) {
		w->now_ms = MAX(w->now_ms, e->at_ms);
		actor = e->actor;
		if (e->is_request)
			handle_request(w, e);
		else
			deliver_answer(w, e);
		g_sequence_remove(iter);
	} else {
		w->now_ms = MAX(w->now_ms, at_ms);
		signoff_tick(actor->r, w->now_ms);
	}
	send_actions(w, actor);
	return true;
}

void
world_run(struct world *w)
{
	while (world_step(w))
		;
}

/* Appends as many services as allowed, with names of the greatest length. */
static void
append_longest_services(GString *json)
{
	uint32_t i;

	for (i = 0; i < CONFIG_MAX_SERVICES; i++)
		g_string_append_printf(
		    json, "%s{\"name\":\"s%030u\"}", i > 0 ? "," : "", i);
}

static struct bundle *
bundle_variant(uint32_t variant)
{
	GString *json =
	    g_string_new("{\"format\":1,\"name\":\"x\",\"services\":[");
	struct bundle *b;

	if (variant == WORLD_BUNDLE_MAX)
		append_longest_services(json);
	else
		g_string_append_printf(json,
		    "{\"name\":\"always\",\"timeout_ms\":%u},"
		    "{\"name\":\"same\"},{\"name\":\"some-%u\"}",
		    variant + 1, variant % 3);
	g_string_append(json, "],\"routes\":[]}");
	g_assert(bundle_parse(json->str, json->len, &b) == STATUS_OK);
	g_string_free(json, TRUE);
	return b;
}

struct signoff_request
world_request(struct world *w, enum signoff_kind kind, const char *op,
    const char *operator_name)
{
	struct signoff_request req;

	memset(&req, 0, sizeof(req));
	req.kind = kind;
	g_strlcpy(req.op, op, sizeof(req.op));
	g_strlcpy(req.operator_name, operator_name, sizeof(req.operator_name));
	req.deadline_ms = w->now_ms + OPERATION_TIMEOUT_MS;
	req.seed = g_rand_int(w->rand);
	return req;
}

struct actor *
world_start(struct world *w, const struct signoff_request *req,
    uint32_t variant, bool naive)
{
	struct actor *actor = g_new0(struct actor, 1);

	actor->req = *req;
	actor->naive = naive;
	actor->variant = variant;
	if (req->kind == SIGNOFF_SIGN_OFF)
		actor->bundle = bundle_variant(variant);
	actor->req.bundle = actor->bundle;
	g_assert(signoff_new(&actor->req, &actor->r) == STATUS_OK);
	g_ptr_array_add(w->actors, actor);
	signoff_start(actor->r, w->now_ms);
	send_actions(w, actor);
	return actor;
}

const struct signoff_outcome *
world_run_operation(
    struct world *w, const struct signoff_request *req, uint32_t variant)
{
	struct actor *actor = world_start(w, req, variant, false);

	world_run(w);
	return &actor->outcome;
}
