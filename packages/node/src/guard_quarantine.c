/*
 * Quarantine at the guard: passes crashes and other nodes' records to the
 * quarantine state, publishes its events and refuses requests accordingly.
 */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define LOG_PART "quarantine"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"
#include "spread/quarantine_news.h"

#define ID_SEED 13
/* Maximum number of requests of recent crashes whose paths are kept for
 * operators. */
#define DESCRIPTIONS_MAX 128
/* Maximum number of log lines per second: hundreds of upstreams may end at
 * once. */
#define LINES_PER_S 20

/**
 * struct description - a request as shown to operators
 * @print: fingerprint of the request
 * @what: method and beginning of the path
 * @caller: name or address of the caller
 */
struct description {
	struct fingerprint print;
	char what[REC_QUARANTINE_RECORD_WHAT_MAX + 1];
	char caller[REC_QUARANTINE_RECORD_CALLER_MAX + 1];
};

static uint64_t
now_ms(const struct guard *g)
{
	return loop_now_ms(g->loop);
}

/* Descriptions */

/* A path may contain any byte; descriptions are written to log lines, JSON and
 * rows. */
static void
make_printable(char *text)
{
	for (; *text != '\0'; text++)
		if (!g_ascii_isprint(*text) || *text == '"')
			*text = '?';
}

void
guard_quarantine_describe(const struct guard_request *r)
{
	GQueue *descriptions = &r->guard->quarantine.descriptions;
	struct call_print_parts parts;
	struct description *d;
	GList *l;

	for (l = descriptions->head; l != NULL; l = l->next) {
		d = l->data;
		if (fingerprint_equal(&d->print, &r->fingerprint))
			return;
	}
	d = g_new0(struct description, 1);
	d->print = r->fingerprint;
	(void)g_snprintf(d->what, sizeof(d->what), "%s %s", r->method, r->path);
	make_printable(d->what);
	guard_request_print_parts(r, &parts);
	(void)g_strlcpy(
	    d->caller, call_print_caller(&parts), sizeof(d->caller));
	g_queue_push_tail(descriptions, d);
	if (descriptions->length > DESCRIPTIONS_MAX)
		g_free(g_queue_pop_head(descriptions));
}

static const struct description *
find_description(const struct guard *g, const struct fingerprint *f)
{
	const struct description *d;
	GList *l;

	for (l = g->quarantine.descriptions.head; l != NULL; l = l->next) {
		d = l->data;
		if (d->print.content == f->content &&
		    (f->caller == 0 || d->print.caller == f->caller))
			return d;
	}
	return NULL;
}

/* Publishing */

static void
item_init(struct quarantine_item *item, const struct guard *g,
    enum quarantine_kind kind, uint64_t at_ms)
{
	memset(item, 0, sizeof(*item));
	item->kind = kind;
	item->at_ms = at_ms;
	(void)g_strlcpy(item->host, g->settings->host, sizeof(item->host));
}

static void
add_print(struct quarantine_item *item, const struct fingerprint *f)
{
	item->prints[item->n_prints].content = f->content;
	item->prints[item->n_prints].caller = f->caller;
	item->n_prints++;
}

/* Creates an id that is unique among the records of all nodes, and not 0. */
static uint64_t
make_record_id(struct guard *g)
{
	uint64_t parts[] = {g->incarnation, ++g->quarantine.last_record};
	uint64_t id = hash64(parts, sizeof(parts),
	    hash64(g->settings->host, strlen(g->settings->host), ID_SEED));

	return id != 0 ? id : 1;
}

static void
publish(struct guard *g, const struct quarantine_item *item)
{
	if (g->quarantine.publish != NULL)
		g->quarantine.publish(item, g->quarantine.arg);
}

static void
publish_crash(struct guard *g, const struct crash *c)
{
	struct quarantine_item item;
	uint32_t i;

	item_init(&item, g, QUARANTINE_CRASH, c->at_ms);
	item.id = c->id;
	for (i = 0; i < c->n_runs; i++)
		add_print(&item, &c->runs[i]);
	publish(g, &item);
}

static void
publish_quarantined(struct guard *g, const struct quarantine_entry *e)
{
	const struct description *d = find_description(g, &e->print);
	char text[FINGERPRINT_TEXT_BYTES];
	struct quarantine_item item;

	log_warning("request=%s is quarantined, crashes=%u last=%016" PRIx64
		    " asks=\"%s\" caller=%s",
	    fingerprint_text(&e->print, text), e->crashes, e->last_crash,
	    d != NULL ? d->what : "?", d != NULL ? d->caller : "?");
	if (!e->own || d == NULL)
		return;
	item_init(&item, g, QUARANTINE_HELD, e->since_ms);
	item.id = make_record_id(g);
	item.crashes = e->crashes;
	(void)g_strlcpy(item.what, d->what, sizeof(item.what));
	if (e->print.caller != 0)
		(void)g_strlcpy(item.caller, d->caller, sizeof(item.caller));
	add_print(&item, &e->print);
	publish(g, &item);
}

static void
log_suspended(struct guard *g, const struct quarantine_entry *e)
{
	uint32_t left_out = g->quarantine.log_limit.left_out;
	char text[FINGERPRINT_TEXT_BYTES];

	if (log_limit_take(&g->quarantine.log_limit, now_ms(g)))
		log_warning(
		    "request=%s is suspended, crashes=%u last=%016" PRIx64
		    " for_ms=%" PRIu64 ": a co-suspect ran in all of "
		    "them left_out=%u",
		    fingerprint_text(&e->print, text), e->crashes,
		    e->last_crash, e->until_ms - now_ms(g), left_out);
}

static void
publish_exonerated(struct guard *g, const struct quarantine_entry *e)
{
	uint32_t left_out = g->quarantine.log_limit.left_out;
	char text[FINGERPRINT_TEXT_BYTES];
	struct quarantine_item item;

	if (log_limit_take(&g->quarantine.log_limit, now_ms(g)))
		log_info(
		    "request=%s was answered, earlier crashes no longer count "
		    "left_out=%u",
		    fingerprint_text(&e->print, text), left_out);
	item_init(&item, g, QUARANTINE_ANSWERED, e->since_ms);
	item.id = make_record_id(g);
	add_print(&item, &e->print);
	publish(g, &item);
}

/* Quarantine state */

static void
export_entries(struct guard *g)
{
	struct guard_quarantine *q = &g->quarantine;

	g_mutex_lock(&q->lock);
	g_array_set_size(q->exported, 0);
	quarantine_list(q->state, q->exported);
	metric_set(&metric_quarantined, q->exported->len);
	g_mutex_unlock(&q->lock);
}

void
guard_quarantine_tick(struct guard *g)
{
	if (!quarantine_is_empty(g->quarantine.state))
		export_entries(g);
}

static bool
is_queued(const struct guard_request *r)
{
	return r->state == REQUEST_QUEUED || r->state == REQUEST_AWAITING_KEY;
}

/* Refuses queued requests that may no longer run. */
static void
refuse_queued(struct guard *g)
{
	GPtrArray *list = g_ptr_array_new();
	struct guard_request *r;
	GHashTableIter it;
	guint i;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (is_queued(r))
			g_ptr_array_add(list, r);
	for (i = 0; i < list->len; i++)
		(void)guard_quarantine_check(list->pdata[i]);
	g_ptr_array_unref(list);
}

static void
process_events(struct guard *g)
{
	struct quarantine *q = g->quarantine.state;
	struct quarantine_event e;

	while (quarantine_pop(q, &e)) {
		switch (e.kind) {
		case QUARANTINE_EVENT_CRASHED:
			publish_crash(g, &e.crash);
			break;
		case QUARANTINE_EVENT_QUARANTINED:
			publish_quarantined(g, &e.entry);
			refuse_queued(g);
			break;
		case QUARANTINE_EVENT_EXONERATED:
			publish_exonerated(g, &e.entry);
			break;
		case QUARANTINE_EVENT_SUSPENDED:
			log_suspended(g, &e.entry);
			refuse_queued(g);
			break;
		}
	}
	export_entries(g);
	loop_timer_set(&g->quarantine.timer, quarantine_wake_ms(q));
}

static void
on_timer(void *arg)
{
	struct guard *g = arg;

	quarantine_tick(g->quarantine.state, now_ms(g));
	process_events(g);
}

void
guard_quarantine_crashed(const struct guard_upstream *u,
    const struct fingerprint *runs, uint32_t n_runs)
{
	struct guard *g = u->guard;
	struct crash c = {.at_ms = now_ms(g), .n_runs = n_runs};

	c.id = make_record_id(g);
	memcpy(c.runs, runs, n_runs * sizeof(runs[0]));
	quarantine_add_own_crash(g->quarantine.state, &c, now_ms(g));
	refuse_queued(g);
	process_events(g);
}

void
guard_quarantine_answered(const struct guard_request *r)
{
	struct guard *g = r->guard;

	if (quarantine_answered(
		g->quarantine.state, &r->fingerprint, now_ms(g)))
		process_events(g);
}

/* Another suspect that runs or waits at the same upstream, or NULL. */
static const struct guard_request *
find_other_suspect(const struct guard_request *r)
{
	const struct guard_request *other;
	GHashTableIter it;

	g_hash_table_iter_init(&it, r->guard->requests);
	while (g_hash_table_iter_next(&it, NULL, (void **)&other))
		if (other != r && other->suspect &&
		    other->upstream == r->upstream &&
		    other->state != REQUEST_ENDED)
			return other;
	return NULL;
}

/*
 * Suspects run one at a time, so that the next crash identifies the
 * suspect that causes it.  A second copy of the same request is refused as
 * quarantined, so that it runs nowhere; another suspect is refused with
 * REFUSAL_WAIT and may run at another upstream.
 */
static bool
refuse_beside_suspect(struct guard_request *r)
{
	const struct guard_request *other;

	if (r->suspect)
		return false;
	other = find_other_suspect(r);
	r->suspect = other == NULL;
	if (other == NULL)
		return false;
	guard_request_refuse(r,
	    fingerprint_equal(&other->fingerprint, &r->fingerprint)
		? REFUSAL_QUARANTINED
		: REFUSAL_WAIT,
	    QUARANTINE_UNDECIDED_RETRY_MS);
	return true;
}

bool
guard_quarantine_check(struct guard_request *r)
{
	struct quarantine *q = r->guard->quarantine.state;
	uint64_t at_ms = now_ms(r->guard);
	const struct quarantine_entry *e = quarantine_check(q, &r->fingerprint);

	if (e != NULL) {
		guard_request_refuse(r, REFUSAL_QUARANTINED,
		    quarantine_retry_after_ms(e, at_ms));
		return true;
	}
	switch (quarantine_suspicion(q, &r->fingerprint, at_ms)) {
	case SUSPICION_NONE:
		return false;
	case SUSPICION_SUSPECT:
		return refuse_beside_suspect(r);
	case SUSPICION_UNDECIDED:
		break;
	}
	guard_request_refuse(
	    r, REFUSAL_QUARANTINED, QUARANTINE_UNDECIDED_RETRY_MS);
	return true;
}

/* Records of other nodes */

static void
apply_crash(struct guard *g, const struct quarantine_item *item)
{
	struct crash c = {.id = item->id, .at_ms = item->at_ms};

	for (c.n_runs = 0; c.n_runs < MIN(item->n_prints, CRASH_RUNS_MAX);
	     c.n_runs++) {
		c.runs[c.n_runs].content = item->prints[c.n_runs].content;
		c.runs[c.n_runs].caller = item->prints[c.n_runs].caller;
	}
	quarantine_add_peer_crash(g->quarantine.state, &c, now_ms(g));
}

static void
log_received(struct guard *g, const struct quarantine_item *item,
    const struct fingerprint *f)
{
	uint32_t left_out = g->quarantine.log_limit.left_out;
	char text[FINGERPRINT_TEXT_BYTES];

	if (!log_limit_take(&g->quarantine.log_limit, now_ms(g)))
		return;
	log_warning("request=%s %s, by host=%s age_ms=%" PRIu64
		    " crashes=%u asks=\"%s\" caller=%s left_out=%u",
	    fingerprint_text(f, text),
	    item->kind == QUARANTINE_HELD ? "is quarantined" : "is released",
	    item->host, now_ms(g) - MIN(now_ms(g), item->at_ms), item->crashes,
	    item->what, item->caller, left_out);
}

static void
apply_hold_or_release(struct guard *g, const struct quarantine_item *item)
{
	struct quarantine *q = g->quarantine.state;
	const struct fingerprint f = {
	    item->prints[0].content, item->prints[0].caller};
	bool changed;

	if (item->kind == QUARANTINE_HELD)
		changed = quarantine_add(q, &f, item->at_ms);
	else
		changed = quarantine_exonerate(q, &f, item->at_ms);
	if (changed)
		log_received(g, item, &f);
	if (changed && item->kind == QUARANTINE_HELD)
		refuse_queued(g);
}

/* Arguments of do_apply_item(). */
struct item_task {
	struct guard *guard;
	struct quarantine_item item;
};

static void
do_apply_item(void *arg)
{
	struct item_task *task = arg;

	if (task->item.kind == QUARANTINE_CRASH) {
		apply_crash(task->guard, &task->item);
		refuse_queued(task->guard);
	} else
		apply_hold_or_release(task->guard, &task->item);
	process_events(task->guard);
	g_free(task);
}

void
guard_apply_quarantine_item(struct guard *g, const struct quarantine_item *item)
{
	struct item_task *task = g_new(struct item_task, 1);

	task->guard = g;
	task->item = *item;
	loop_post(g->loop, do_apply_item, task);
}

void
guard_set_publish(struct guard *g, guard_publish_fn *publish_fn, void *arg)
{
	g->quarantine.publish = publish_fn;
	g->quarantine.arg = arg;
}

void
guard_quarantine_list(struct guard *g, GArray *out)
{
	struct guard_quarantine *q = &g->quarantine;

	g_mutex_lock(&q->lock);
	if (q->exported->len > 0)
		g_array_append_vals(out, q->exported->data, q->exported->len);
	g_mutex_unlock(&q->lock);
}

struct quarantine *
guard_quarantine(struct guard *g)
{
	return g->quarantine.state;
}

void
guard_quarantine_init(struct guard *g)
{
	struct guard_quarantine *q = &g->quarantine;

	q->state = quarantine_new(g->incarnation, clock_now_ms());
	loop_timer_init(&q->timer, g->loop, on_timer, g);
	g_queue_init(&q->descriptions);
	q->log_limit.per_s = LINES_PER_S;
	q->log_limit.burst = LINES_PER_S;
	g_mutex_init(&q->lock);
	q->exported =
	    g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
}

void
guard_quarantine_clear(struct guard *g)
{
	struct guard_quarantine *q = &g->quarantine;

	loop_timer_stop(&q->timer);
	quarantine_free(q->state);
	g_queue_clear_full(&q->descriptions, g_free);
	g_array_unref(q->exported);
	g_mutex_clear(&q->lock);
}
