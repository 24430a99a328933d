/*
 * Idempotency keys in the guard: queries to the previous home of a key and
 * claims in the platform's table.
 */
#include "guard.h"

#define HOME_QUERY_TIMEOUT_US (100 * US_PER_MS)
#define CLAIM_DELAY_US (5 * US_PER_MS)
#define CLAIM_LOST_PERCENT 5

/* Query in transit, to the previous home or to the platform. */
struct key_query {
	struct guard *guard;
	uint64_t process;
	struct request_id id;
	struct key_id key;
	uint64_t home;
	uint64_t age_ms;
	enum keyed_word word;
};

void
guard_key_id(const struct client_call *c, struct key_id *key)
{
	key_id_make(key, SERVICE, &c->key, sizeof(c->key));
}

static void apply_decision(struct guard *g, struct guard_request *r,
    const struct key_id *key, const struct keyed_decision *d);

static void
on_home_response(void *target, void *arg)
{
	struct guard *g = target;
	struct key_query *q = arg;
	struct keyed_decision d;
	struct guard_request *r;

	if (g->up && g->process == q->process) {
		if (g->world->cfg.defect == DEFECT_KEY_HOME_NOT_QUERIED)
			q->word = KEYED_WORD_FREE;
		keyed_home_answered(g->keyed, &q->key, &q->id, q->home, q->word,
		    guard_now_ms(g), &d);
		r = guard_find(g, &q->id);
		if (r != NULL)
			apply_decision(g, r, &q->key, &d);
		else
			keyed_release(
			    g->keyed, &q->key, &q->id, guard_now_ms(g));
	}
	g_free(q);
}

static bool
is_partitioned(const struct world *w, uint32_t one, uint32_t other)
{
	uint32_t n = w->cfg.data_centres;

	return one % n != other % n &&
	    (w->partitioned_data_centre == one % n + 1 ||
		w->partitioned_data_centre == other % n + 1);
}

/* Delivers a query to the previous home; if the home is down, frozen or
 * partitioned, the query times out. */
static void
on_home_query(void *target, void *arg)
{
	struct guard *h = target;
	struct key_query *q = arg;
	struct world *w = h->world;

	if (h->up && h->frozen_until_us <= w->now_us &&
	    !is_partitioned(w, h->index, q->guard->index)) {
		q->word = keyed_hand_over(h->keyed, &q->key,
		    q->guard->index + 1, q->age_ms, guard_now_ms(h));
		world_schedule_after(
		    w, w->cfg.delay_us, on_home_response, q->guard, q);
		return;
	}
	q->word = KEYED_WORD_NONE;
	world_schedule_after(
	    w, HOME_QUERY_TIMEOUT_US, on_home_response, q->guard, q);
}

static void
on_claim_response(void *target, void *arg)
{
	struct guard *g = target;
	struct key_query *q = arg;
	struct keyed_decision d;
	struct guard_request *r;

	if (g->up && g->process == q->process) {
		keyed_claimed(
		    g->keyed, &q->key, &q->id, q->word, guard_now_ms(g), &d);
		r = guard_find(g, &q->id);
		if (r != NULL)
			apply_decision(g, r, &q->key, &d);
		else
			keyed_release(
			    g->keyed, &q->key, &q->id, guard_now_ms(g));
	}
	g_free(q);
}

/* Conditional put: the first process that claims a key holds the claim. */
static void
claim_at_platform(void *target, void *arg)
{
	struct guard *g = target;
	struct key_query *q = arg;
	struct world *w = g->world;
	gpointer key = GSIZE_TO_POINTER(q->key.low);
	gpointer holder;

	q->word = KEYED_WORD_NONE;
	if (!w->platform_down) {
		holder = g_hash_table_lookup(w->claims, key);
		if (holder == NULL) {
			holder = GSIZE_TO_POINTER(g->incarnation);
			g_hash_table_insert(w->claims, key, holder);
		}
		q->word = holder == GSIZE_TO_POINTER(g->incarnation)
		    ? KEYED_WORD_FREE
		    : KEYED_WORD_TAKEN;
		if (world_random_percent(w, CLAIM_LOST_PERCENT))
			q->word = KEYED_WORD_NONE;
	}
	world_schedule_after(w, CLAIM_DELAY_US, on_claim_response, g, q);
}

static void
send_query(struct guard *g, const struct guard_request *r,
    const struct key_id *key, const struct keyed_decision *d)
{
	struct key_query *q;

	q = g_new0(struct key_query, 1);
	q->guard = g;
	q->process = g->process;
	q->id = r->id;
	q->key = *key;
	q->home = d->ask;
	q->age_ms = keyed_age_ms(g->keyed, guard_now_ms(g));
	if (d->verdict == KEYED_CLAIM)
		claim_at_platform(g, q);
	else
		world_schedule_after(g->world, g->world->cfg.delay_us,
		    on_home_query, g->world->guards[d->ask - 1], q);
}

/* Responds to a follower, which expects a response and not a resolution. */
static void
respond_to_follower(
    struct guard *g, const struct fate_waiter *to, const struct fate_answer *a)
{
	struct message m = {.kind = MESSAGE_FAILED};

	switch (a->resolution) {
	case RESOLUTION_ATTACHED:
		return;
	case RESOLUTION_ANSWER:
		m.kind = MESSAGE_RESPONSE;
		m.answered_call = guard_response_call(a->answer);
		break;
	case RESOLUTION_NOT_RUN:
		m.kind = MESSAGE_REFUSED;
		m.refusal = REFUSAL_KEY_UNSETTLED;
		break;
	default:
		break;
	}
	guard_send(g, to, &m);
}

static void
follow(struct guard *g, struct guard_request *r, const struct keyed_decision *d)
{
	const struct fate_waiter *waiters;
	struct fate_waiter waiter;
	struct fate_answer a;
	size_t n;

	waiters = fate_waiters(g->fates, &r->id, &n);
	if (n > 0) {
		waiter = waiters[n - 1];
		fate_follow(g->fates, &r->id, &d->first, guard_now_ms(g), &a);
		respond_to_follower(g, &waiter, &a);
	}
	guard_remove_request(g, r);
}

static void
apply_decision(struct guard *g, struct guard_request *r,
    const struct key_id *key, const struct keyed_decision *d)
{
	switch (d->verdict) {
	case KEYED_RUN:
		guard_admit(g, r);
		return;
	case KEYED_FOLLOW:
		follow(g, r, d);
		return;
	case KEYED_ASK_HOME:
	case KEYED_CLAIM:
		send_query(g, r, key, d);
		return;
	case KEYED_NOT_HOME:
		guard_refuse(g, r, REFUSAL_NOT_HOME, 0);
		return;
	case KEYED_UNSETTLED:
	case KEYED_FULL:
		guard_refuse(g, r, REFUSAL_KEY_UNSETTLED, d->retry_after_ms);
		return;
	case KEYED_BODY_MISMATCH:
		guard_refuse(g, r, REFUSAL_KEY_REUSED, 0);
		return;
	}
}

void
guard_key_offer(struct guard *g, struct guard_request *r)
{
	struct keyed_decision d;
	struct key_id key;

	guard_key_id(world_call(g->world, r->call), &key);
	keyed_offer(g->keyed, &key, 1, &r->id, guard_now_ms(g), &d);
	apply_decision(g, r, &key, &d);
}
