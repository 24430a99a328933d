/*
 * Idempotency keys in the guard's shell: asking an earlier home and claiming
 * in the platform's table.
 */
#include "guard.h"

#define ASK_LIMIT_US (100 * US_PER_MS)
#define CLAIM_US (5 * US_PER_MS)
#define CLAIM_LOST_PERCENT 5

/* A question on its way: to an earlier home or to the platform. */
struct question {
	struct guard *guard;
	uint64_t process;
	struct request_id id;
	struct key_id key;
	uint64_t asked;
	uint64_t age_ms;
	enum keyed_word word;
};

void
guard_key_id(const struct client_call *c, struct key_id *key)
{
	key_id_make(key, SERVICE, &c->key, sizeof(c->key));
}

static void act(struct guard *g, struct guard_request *r,
    const struct key_id *key, const struct keyed_decision *d);

static void
asked(void *who, void *what)
{
	struct guard *g = who;
	struct question *q = what;
	struct keyed_decision d;
	struct guard_request *r;

	if (g->up && g->process == q->process) {
		if (g->world->cfg.plant == PLANT_KEY_NOT_ASKED)
			q->word = KEYED_WORD_FREE;
		keyed_home_answered(g->keyed, &q->key, &q->id, q->asked,
		    q->word, guard_now_ms(g), &d);
		r = guard_find(g, &q->id);
		if (r != NULL)
			act(g, r, &q->key, &d);
		else
			keyed_release(
			    g->keyed, &q->key, &q->id, guard_now_ms(g));
	}
	g_free(q);
}

static bool
is_cut(const struct world *w, uint32_t one, uint32_t other)
{
	uint32_t n = w->cfg.data_centres;

	return one % n != other % n &&
	    (w->cut_data_centre == one % n + 1 ||
		w->cut_data_centre == other % n + 1);
}

/* The question reaches the earlier home, if that one lives. */
static void
yield(void *who, void *what)
{
	struct guard *h = who;
	struct question *q = what;
	struct world *w = h->world;

	if (h->up && h->frozen_until_us <= w->now_us &&
	    !is_cut(w, h->index, q->guard->index)) {
		q->word = keyed_hand_over(h->keyed, &q->key,
		    q->guard->index + 1, q->age_ms, guard_now_ms(h));
		world_later(w, w->cfg.delay_us, asked, q->guard, q);
		return;
	}
	q->word = KEYED_WORD_NONE;
	world_later(w, ASK_LIMIT_US, asked, q->guard, q);
}

static void
claimed(void *who, void *what)
{
	struct guard *g = who;
	struct question *q = what;
	struct keyed_decision d;
	struct guard_request *r;

	if (g->up && g->process == q->process) {
		keyed_claimed(
		    g->keyed, &q->key, &q->id, q->word, guard_now_ms(g), &d);
		r = guard_find(g, &q->id);
		if (r != NULL)
			act(g, r, &q->key, &d);
		else
			keyed_release(
			    g->keyed, &q->key, &q->id, guard_now_ms(g));
	}
	g_free(q);
}

/* A conditional put: the first process that claims a key holds it. */
static void
platform(void *who, void *what)
{
	struct guard *g = who;
	struct question *q = what;
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
		if (world_chance(w, CLAIM_LOST_PERCENT))
			q->word = KEYED_WORD_NONE;
	}
	world_later(w, CLAIM_US, claimed, g, q);
}

static void
ask(struct guard *g, const struct guard_request *r, const struct key_id *key,
    const struct keyed_decision *d)
{
	struct question *q;

	q = g_new0(struct question, 1);
	q->guard = g;
	q->process = g->process;
	q->id = r->id;
	q->key = *key;
	q->asked = d->ask;
	q->age_ms = keyed_age_ms(g->keyed, guard_now_ms(g));
	if (d->verdict == KEYED_CLAIM)
		platform(g, q);
	else
		world_later(g->world, g->world->cfg.delay_us, yield,
		    g->world->guards[d->ask - 1], q);
}

/* A follower waits for an answer, not for a word on its fate. */
static void
answer_follower(
    struct guard *g, const struct fate_waiter *to, const struct fate_answer *a)
{
	struct message m = {.kind = MESSAGE_FAILED};

	switch (a->resolution) {
	case RESOLUTION_ATTACHED:
		return;
	case RESOLUTION_ANSWER:
		m.kind = MESSAGE_ANSWER;
		m.of = guard_answer_of(a->answer);
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
		answer_follower(g, &waiter, &a);
	}
	guard_forget(g, r);
}

static void
act(struct guard *g, struct guard_request *r, const struct key_id *key,
    const struct keyed_decision *d)
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
		ask(g, r, key, d);
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
	act(g, r, &key, &d);
}
