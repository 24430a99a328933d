/*
 * Aggregates how many nodes serve the newest version.
 */
#include "spread/progress.h"

#include <stdbool.h>
#include <string.h>

#include "base/clock.h"
#include "membership/membership.h"

/* Mean time between two checks for changes of the table of hosts. */
#define POSITION_INTERVAL_MS 2000

/* Missed reports, each of progress_refresh_ms, after which a child is no longer
 * counted. */
#define MISSED_REPORTS 3

/*
 * A report can be lost, and a parent whose table lacks the child ignores the
 * report.  An unchanged report is therefore repeated after this many times
 * progress_ms, then after doubled pauses up to progress_refresh_ms.  Under a
 * steady stream of changes the next changed report comes first.
 */
#define REPEAT_FACTOR 8

void
progress_init(struct progress *p, struct spread_env *env, uint64_t now_ms)
{
	memset(p, 0, sizeof(*p));
	p->env = env;
	p->next_position_ms = now_ms;
	p->report_ms = DEADLINE_NEVER;
	p->pause_ms = env->profile.progress_refresh_ms;
	p->refresh_ms = now_ms + env_jitter(env, p->pause_ms);
	p->answers = g_array_new(FALSE, TRUE, sizeof(struct spread_progress));
}

void
progress_clear(struct progress *p)
{
	g_array_unref(p->answers);
}

/* The live hosts of one data centre, filled by progress_add_live_host(). */
struct progress_host_list {
	const char *data_centre;
	GPtrArray *hosts;
};

static void
progress_add_live_host(const struct member *m, void *ctx)
{
	struct progress_host_list *list;

	list = ctx;
	if (member_is_live(m) && strcmp(m->data_centre, list->data_centre) == 0)
		g_ptr_array_add(list->hosts, (gpointer)m);
}

static gint
progress_by_name(gconstpointer a, gconstpointer b)
{
	const struct member *const *x = a;
	const struct member *const *y = b;

	return strcmp((*x)->host, (*y)->host);
}

static void
progress_schedule_report(struct progress *p, uint64_t now_ms)
{
	if (p->report_ms == DEADLINE_NEVER)
		p->report_ms = now_ms + p->env->profile.progress_ms;
}

/* Replaces the children; those that stay keep their last report. */
static void
progress_set_children(
    struct progress *p, const GPtrArray *hosts, uint32_t first)
{
	struct progress_child before[PROGRESS_ARITY];
	const struct member *m;
	uint32_t i, j, n_before;

	n_before = p->n_children;
	memcpy(before, p->children, sizeof(before));
	memset(p->children, 0, sizeof(p->children));
	p->n_children = 0;
	for (i = first; i < hosts->len && i < first + PROGRESS_ARITY; i++) {
		m = g_ptr_array_index(hosts, i);
		for (j = 0; j < n_before; j++)
			if (addr_equal(&before[j].addr, &m->address))
				p->children[p->n_children] = before[j];
		p->children[p->n_children++].addr = m->address;
	}
}

static void
progress_update_position(struct progress *p, uint64_t now_ms)
{
	struct progress_host_list list;
	const struct member *m;
	struct net_addr parent;
	uint32_t i;

	p->next_position_ms = now_ms + env_jitter(p->env, POSITION_INTERVAL_MS);
	if (p->change == membership_change(p->env->members))
		return;
	p->change = membership_change(p->env->members);
	list.data_centre = p->env->data_centre;
	list.hosts = g_ptr_array_new();
	membership_each(p->env->members, progress_add_live_host, &list);
	g_ptr_array_sort(list.hosts, progress_by_name);
	for (i = 0; i < list.hosts->len; i++) {
		m = g_ptr_array_index(list.hosts, i);
		if (strcmp(m->host, p->env->host) == 0)
			break;
	}
	if (i < list.hosts->len) {
		parent = p->parent;
		p->has_parent = i > 0;
		if (i > 0) {
			m = g_ptr_array_index(
			    list.hosts, (i - 1) / PROGRESS_ARITY);
			p->parent = m->address;
		}
		progress_set_children(p, list.hosts, i * PROGRESS_ARITY + 1);
		if (!addr_equal(&parent, &p->parent))
			memset(&p->sent, 0, sizeof(p->sent));
		progress_schedule_report(p, now_ms);
	}
	g_ptr_array_unref(list.hosts);
}

void
spread_refusal_add(
    struct spread_refusal *sum, const struct spread_refusal *part)
{
	if (part->nodes == 0)
		return;
	if (sum->nodes == 0 || part->version > sum->version) {
		sum->version = part->version;
		(void)g_strlcpy(sum->reason, part->reason, sizeof(sum->reason));
	}
	sum->since_wall_ms = sum->nodes == 0
	    ? part->since_wall_ms
	    : MIN(sum->since_wall_ms, part->since_wall_ms);
	sum->nodes += part->nodes;
}

static void
progress_add(
    struct msg_progress_report *sum, const struct msg_progress_report *part)
{
	sum->nodes += part->nodes;
	sum->lowest = MIN(sum->lowest, part->lowest);
	if (part->version == sum->version)
		sum->holding += part->holding;
}

static bool
progress_reports_equal(
    const struct msg_progress_report *a, const struct msg_progress_report *b)
{
	return a->version == b->version && a->holding == b->holding &&
	    a->nodes == b->nodes && a->lowest == b->lowest &&
	    a->refusing == b->refusing && a->refused == b->refused &&
	    a->refused_since_ms == b->refused_since_ms &&
	    strcmp(a->reason, b->reason) == 0;
}

/* The refusals in a report. */
static struct spread_refusal
progress_decode_refusal(const struct msg_progress_report *msg)
{
	struct spread_refusal r = {
	    msg->refusing, msg->refused, msg->refused_since_ms, ""};

	(void)g_strlcpy(r.reason, msg->reason, sizeof(r.reason));
	return r;
}

static void
progress_encode_refusal(
    struct msg_progress_report *sum, const struct spread_refusal *r)
{
	sum->refusing = r->nodes;
	sum->refused = r->version;
	sum->refused_since_ms = r->since_wall_ms;
	(void)g_strlcpy(sum->reason, r->reason, sizeof(sum->reason));
}

void
progress_sum(
    const struct progress *p, uint64_t now_ms, struct msg_progress_report *sum)
{
	struct spread_refusal refusal = p->refusal, part;
	const struct progress_child *c;
	uint64_t max_age_ms;
	uint32_t i;

	memset(sum, 0, sizeof(*sum));
	sum->version = p->newest;
	sum->holding = p->held >= p->newest && p->held > 0;
	sum->nodes = 1;
	sum->lowest = p->held;
	max_age_ms =
	    (uint64_t)MISSED_REPORTS * p->env->profile.progress_refresh_ms;
	for (i = 0; i < p->n_children; i++) {
		c = &p->children[i];
		if (c->heard_ms == 0 || now_ms >= c->heard_ms + max_age_ms)
			continue;
		progress_add(sum, &c->sum);
		part = progress_decode_refusal(&c->sum);
		spread_refusal_add(&refusal, &part);
	}
	progress_encode_refusal(sum, &refusal);
}

void
progress_set_own(
    struct progress *p, uint64_t now_ms, uint64_t held, uint64_t newest)
{
	if (p->held == held && p->newest == newest)
		return;
	p->held = held;
	p->newest = newest;
	progress_schedule_report(p, now_ms);
}

void
progress_set_own_refusal(
    struct progress *p, uint64_t now_ms, const struct spread_refusal *r)
{
	if (p->refusal.nodes == r->nodes && p->refusal.version == r->version &&
	    strcmp(p->refusal.reason, r->reason) == 0)
		return;
	p->refusal = *r;
	progress_schedule_report(p, now_ms);
}

void
progress_on_report(struct progress *p, uint64_t now_ms,
    const struct net_addr *from, const struct msg_progress_report *msg)
{
	struct progress_child *c;
	uint32_t i;

	for (i = 0; i < p->n_children; i++) {
		c = &p->children[i];
		if (!addr_equal(&c->addr, from))
			continue;
		if (!progress_reports_equal(&c->sum, msg))
			progress_schedule_report(p, now_ms);
		c->sum = *msg;
		c->heard_ms = MAX(now_ms, 1);
	}
}

static void
progress_fill_answer(
    const struct progress *p, uint64_t now_ms, struct msg_progress_answer *msg)
{
	struct msg_progress_report sum;

	progress_sum(p, now_ms, &sum);
	g_strlcpy(
	    msg->data_centre, p->env->data_centre, sizeof(msg->data_centre));
	msg->version = sum.version;
	msg->holding = sum.holding;
	msg->nodes = sum.nodes;
	msg->lowest = sum.lowest;
	msg->refusing = sum.refusing;
	msg->refused = sum.refused;
	msg->refused_since_ms = sum.refused_since_ms;
	g_strlcpy(msg->reason, sum.reason, sizeof(msg->reason));
}

void
progress_on_ask(struct progress *p, uint64_t now_ms,
    const struct net_addr *from, const struct msg_progress_ask *msg)
{
	struct msg_progress_answer answer;
	GByteArray *body;

	if (p->has_parent)
		return;
	progress_fill_answer(p, now_ms, &answer);
	answer.token = msg->token;
	body = g_byte_array_new();
	msg_progress_answer_encode(&answer, body);
	outbox_datagram(p->env->out, from, MSG_PROGRESS_ANSWER, body);
}

void
progress_on_answer(
    struct progress *p, uint64_t now_ms, const struct msg_progress_answer *msg)
{
	struct spread_progress *a, fresh;
	uint32_t i;

	if (msg->token != p->token)
		return;
	memset(&fresh, 0, sizeof(fresh));
	for (i = 0; i < p->answers->len; i++) {
		a = &g_array_index(p->answers, struct spread_progress, i);
		if (strcmp(a->data_centre, msg->data_centre) == 0)
			break;
	}
	if (i == p->answers->len)
		g_array_append_val(p->answers, fresh);
	a = &g_array_index(p->answers, struct spread_progress, i);
	g_strlcpy(a->data_centre, msg->data_centre, sizeof(a->data_centre));
	a->version = msg->version;
	a->holding = msg->holding;
	a->nodes = msg->nodes;
	a->lowest = msg->lowest;
	a->refusal.nodes = msg->refusing;
	a->refusal.version = msg->refused;
	a->refusal.since_wall_ms = msg->refused_since_ms;
	g_strlcpy(a->refusal.reason, msg->reason, sizeof(a->refusal.reason));
	a->at_ms = now_ms;
}

static void
progress_add_root(const struct member *m, void *ctx)
{
	GHashTable *first;
	const struct member *known;

	first = ctx;
	if (!member_is_live(m))
		return;
	known = g_hash_table_lookup(first, m->data_centre);
	if (known == NULL || strcmp(m->host, known->host) < 0)
		g_hash_table_insert(
		    first, (gpointer)m->data_centre, (gpointer)m);
}

void
progress_ask(struct progress *p, uint64_t now_ms)
{
	struct msg_progress_answer own;
	struct msg_progress_ask msg;
	const struct member *m;
	GHashTable *first;
	GHashTableIter it;
	GByteArray *body;
	gpointer value;

	msg.token = ++p->token;
	first = g_hash_table_new(g_str_hash, g_str_equal);
	membership_each(p->env->members, progress_add_root, first);
	g_hash_table_iter_init(&it, first);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		m = value;
		if (strcmp(m->host, p->env->host) == 0)
			continue;
		body = g_byte_array_new();
		msg_progress_ask_encode(&msg, body);
		outbox_datagram(
		    p->env->out, &m->address, MSG_PROGRESS_ASK, body);
	}
	g_hash_table_destroy(first);
	if (p->has_parent)
		return;
	progress_fill_answer(p, now_ms, &own);
	own.token = p->token;
	progress_on_answer(p, now_ms, &own);
}

static void
progress_schedule_refresh(struct progress *p, uint64_t now_ms, int changed)
{
	const struct spread_profile *profile = &p->env->profile;
	uint32_t pause_ms;

	if (changed)
		pause_ms = REPEAT_FACTOR * profile->progress_ms;
	else
		pause_ms = 2 * p->pause_ms;
	p->pause_ms = MIN(pause_ms, profile->progress_refresh_ms);
	p->refresh_ms = now_ms + env_jitter(p->env, p->pause_ms);
}

static void
progress_report(struct progress *p, uint64_t now_ms)
{
	struct msg_progress_report sum;
	GByteArray *body;
	int changed;

	p->report_ms = DEADLINE_NEVER;
	if (!p->has_parent)
		return;
	progress_sum(p, now_ms, &sum);
	changed = !progress_reports_equal(&sum, &p->sent);
	if (!changed && now_ms < p->refresh_ms)
		return;
	progress_schedule_refresh(p, now_ms, changed);
	p->sent = sum;
	p->env->stats.progress_sent++;
	body = g_byte_array_new();
	msg_progress_report_encode(&sum, body);
	outbox_datagram(p->env->out, &p->parent, MSG_PROGRESS_REPORT, body);
}

void
progress_tick(struct progress *p, uint64_t now_ms)
{
	if (now_ms >= p->next_position_ms)
		progress_update_position(p, now_ms);
	if (now_ms >= p->report_ms || now_ms >= p->refresh_ms)
		progress_report(p, now_ms);
	if (now_ms >= p->refresh_ms)
		p->refresh_ms = now_ms +
		    env_jitter(p->env, p->env->profile.progress_refresh_ms);
}

uint64_t
progress_next_ms(const struct progress *p)
{
	return MIN(p->next_position_ms, MIN(p->report_ms, p->refresh_ms));
}
