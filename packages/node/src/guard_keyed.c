/*
 * Idempotency keys at the guard: carries out the decisions of package traffic.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "config/snapshot.h"
#include "node/snapshot_ref.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

#define REQUEST_SEED 6
#define KEYS_MAX 65536

/* Endpoint changes reach all nodes within this many suspicion times. */
#define PROPAGATION_SUSPICIONS 2

static void
apply_decision(struct guard_request *r, const struct keyed_decision *d);

/* Endpoints */

struct keyed *
guard_keyed_new(struct guard *g, const char *service)
{
	struct keyed_config cfg = {.window_ms = g->settings->fate_window_ms,
	    .propagation_ms =
		PROPAGATION_SUSPICIONS * (uint64_t)g->settings->suspicion_ms,
	    .keys_max = KEYS_MAX};

	return keyed_new(&cfg, endpoint_id(g->settings->host, service),
	    loop_now_ms(g->loop));
}

/* Records the address of an endpoint's guard; it is kept after the endpoint has
 * left. */
static void
record_address(struct guard *g, uint64_t id, const struct endpoint *ep)
{
	uint64_t *key = g_new(uint64_t, 1);
	struct net_addr *address = g_new(struct net_addr, 1);

	*key = id;
	*address = ep->address;
	g_hash_table_replace(g->guard_addresses, key, address);
}

static void
update_endpoints(struct guard_upstream *u)
{
	struct guard *g = u->guard;
	const struct snapshot_service *ss;
	const struct endpoint_list *list = NULL;
	uint64_t *ready;
	size_t n = 0;
	uint32_t i;

	ss = g->snapshot == NULL
	    ? NULL
	    : snapshot_service(g->snapshot, u->info.service);
	if (ss != NULL)
		list = ss->endpoints;
	ready = g_new(uint64_t, list != NULL ? list->n_endpoints : 0);
	for (i = 0; list != NULL && i < list->n_endpoints; i++) {
		if (list->endpoints[i].state != SERVING_READY)
			continue;
		ready[n] = endpoint_id(
		    list->endpoints[i].host, list->endpoints[i].service);
		record_address(g, ready[n], &list->endpoints[i]);
		n++;
	}
	keyed_set_view(u->keyed, ready, n, loop_now_ms(g->loop));
	g_free(ready);
}

void
guard_keyed_update_endpoints(struct guard_upstream *u)
{
	update_endpoints(u);
}

void
guard_keyed_refresh_snapshot(struct guard *g)
{
	struct snapshot *s = snapshot_ref_get();
	struct guard_upstream *u;
	GHashTableIter it;

	if (s == g->snapshot) {
		snapshot_unref(s);
		return;
	}
	snapshot_unref(g->snapshot);
	g->snapshot = s;
	g_hash_table_iter_init(&it, g->upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&u))
		update_endpoints(u);
}

/* Requests */

/* Hash of the request; of a body, the part counts that a guard awaits before it
 * submits a request. */
static uint64_t
request_hash(const struct guard_request *r)
{
	uint64_t h = hash64(r->method, strlen(r->method), REQUEST_SEED);
	GByteArray *body = g_byte_array_new();

	h = hash64(r->path, strlen(r->path), h);
	h = hash64(&r->body_bytes, sizeof(r->body_bytes), h);
	body_buffer_copy(&r->body, CALL_BODY_PREFIX_BYTES, body);
	h = hash64(body->data, body->len, h);
	g_byte_array_free(body, TRUE);
	return h;
}

void
guard_keyed_submit(struct guard_request *r)
{
	struct guard *g = r->guard;
	struct keyed_decision d;

	guard_keyed_refresh_snapshot(g);
	keyed_offer(r->upstream->keyed, &r->key, request_hash(r), &r->id,
	    loop_now_ms(g->loop), &d);
	log_debug("%s: key verdict %s", r->upstream->info.service,
	    keyed_verdict_name(d.verdict));
	apply_decision(r, &d);
}

/* Makes the stream of @r await the fate of the first request with the key. */
static void
follow(struct guard_request *r, const struct request_id *first)
{
	struct guard *g = r->guard;
	struct guard_conn *gc = r->body_source->conn;
	uint32_t stream = r->body_source->stream;
	struct guard_upstream *u = r->upstream;
	struct fate_answer fate;

	fate_follow(g->fates, &r->id, first, loop_now_ms(g->loop), &fate);
	guard_resolve_add_follower(g, &r->id, first);
	guard_out_free(r->body_source);
	switch (fate.resolution) {
	case RESOLUTION_ATTACHED:
		if (!guard_resolve_attach(gc, stream, &r->id))
			guard_out_failed(gc, stream, u);
		break;
	case RESOLUTION_ANSWER:
		if (!guard_resolve_send_retained(
			gc, stream, &r->id, fate.answer))
			guard_out_failed(gc, stream, u);
		break;
	case RESOLUTION_NOT_RUN:
		guard_out_refuse(gc, stream, u, REFUSAL_RESOLVED, 0);
		break;
	default:
		guard_out_failed(gc, stream, u);
		break;
	}
	if (fate.answer != NULL)
		g_bytes_unref(fate.answer);
	guard_request_discard(r);
}

static void
query_earlier_home(struct guard_request *r, uint64_t home)
{
	struct guard *g = r->guard;
	struct guard_key_query q = {.id = r->id,
	    .key = r->key,
	    .home = home,
	    .age_ms = keyed_age_ms(r->upstream->keyed, loop_now_ms(g->loop))};
	const struct net_addr *at =
	    g_hash_table_lookup(g->guard_addresses, &home);

	(void)g_strlcpy(
	    q.service, r->upstream->info.service, sizeof(q.service));
	r->state = REQUEST_AWAITING_KEY;
	guard_key_query_start(g, at, &q);
}

static void
apply_decision(struct guard_request *r, const struct keyed_decision *d)
{
	switch (d->verdict) {
	case KEYED_RUN:
		r->holds_key = true;
		guard_upstream_submit(r);
		return;
	case KEYED_FOLLOW:
		follow(r, &d->first);
		return;
	case KEYED_ASK_HOME:
		query_earlier_home(r, d->ask);
		return;
	case KEYED_NOT_HOME:
		guard_request_refuse(r, REFUSAL_NOT_HOME, 0);
		return;
	case KEYED_FULL:
		guard_request_refuse(r, REFUSAL_QUEUE_FULL, 0);
		return;
	case KEYED_BODY_MISMATCH:
		guard_request_refuse(r, REFUSAL_KEY_REUSED, 0);
		return;
	case KEYED_CLAIM:
	case KEYED_UNSETTLED:
		guard_request_refuse(
		    r, REFUSAL_KEY_UNSETTLED, d->retry_after_ms);
		return;
	}
}

/* The request that started the query may have ended meanwhile. */
void
guard_keyed_query_done(
    struct guard *g, const struct guard_key_query *q, enum keyed_word word)
{
	struct guard_request *r = g_hash_table_lookup(g->requests, &q->id);
	struct guard_upstream *u = guard_upstream_find(g, q->service);
	uint64_t now_ms = loop_now_ms(g->loop);
	struct keyed_decision d;

	log_info("%s: key query to an earlier home returned %s", q->service,
	    word == KEYED_WORD_FREE	   ? "free"
		: word == KEYED_WORD_TAKEN ? "taken"
					   : "no answer");
	if (u == NULL)
		return;
	keyed_home_answered(
	    u->keyed, &q->key, &q->id, q->home, word, now_ms, &d);
	if (r != NULL && r->state == REQUEST_AWAITING_KEY)
		apply_decision(r, &d);
	else if (d.verdict == KEYED_RUN || d.verdict == KEYED_ASK_HOME)
		keyed_release(u->keyed, &q->key, &q->id, now_ms);
}

void
guard_keyed_ended(struct guard_request *r, bool ran)
{
	uint64_t now_ms = loop_now_ms(r->guard->loop);

	if (!r->holds_key)
		return;
	r->holds_key = false;
	if (ran)
		keyed_ended(r->upstream->keyed, &r->key, &r->id, now_ms);
	else
		keyed_release(r->upstream->keyed, &r->key, &r->id, now_ms);
}

enum keyed_word
guard_keyed_yield(struct guard *g, const struct msg_call_key_ask *m)
{
	struct guard_upstream *u = guard_upstream_find(g, m->service);
	struct key_id key = {.high = m->key_high, .low = m->key_low};

	if (u == NULL)
		return KEYED_WORD_TAKEN;
	guard_keyed_refresh_snapshot(g);
	return keyed_hand_over(
	    u->keyed, &key, m->to, m->to_age_ms, loop_now_ms(g->loop));
}
