/*
 * Exchanges crashes and quarantined requests between the guard, the other nodes
 * and operators.
 */
#define LOG_PART "quarantine"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "control_priv.h"
#include "node/guard.h"
#include "traffic/quarantine.h"

#define ID_SEED 14

static bool
random_peer(struct quarantine_peers *p, struct net_addr *out)
{
	struct control_peers *peers = (struct control_peers *)p;
	const struct member *m;

	m = membership_random(peers->membership, NULL, MEMBER_STATES_LIVE);
	if (m == NULL)
		return false;
	*out = m->address;
	return true;
}

/* An item that is posted to the control thread. */
struct publish_task {
	struct control *control;
	struct quarantine_item item;
};

/* Writes an item of this node to the platform and sends it to peers. */
static void
distribute(struct control *c, const struct quarantine_item *item)
{
	control_keep_record(c, item);
	quarantine_news_add(c->quarantine, item, control_now(c));
	quarantine_news_tick(c->quarantine, control_now(c));
	control_keep_tick(c);
	control_pump(c);
}

static void
publish_posted(void *arg)
{
	struct publish_task *t = arg;

	distribute(t->control, &t->item);
	g_free(t);
}

/* Called in the guard's thread. */
static void
on_publish(const struct quarantine_item *item, void *arg)
{
	struct control *c = arg;
	struct publish_task *t = g_new(struct publish_task, 1);

	t->control = c;
	t->item = *item;
	loop_post(c->loop, publish_posted, t);
}

void
control_quarantine_init(struct control *c, uint64_t now_ms)
{
	c->quarantine_peers.peers.random = random_peer;
	c->quarantine_peers.membership = c->membership;
	c->quarantine = quarantine_news_new(
	    c->settings->host, &c->quarantine_peers.peers, c->outbox, now_ms);
	quarantine_rows_init(&c->quarantine_rows);
	guard_set_publish(c->guard, on_publish, c);
}

void
control_quarantine_pump(struct control *c)
{
	struct quarantine_item item;

	while (quarantine_news_pop(c->quarantine, &item))
		guard_apply_quarantine_item(c->guard, &item);
}

/* For operators */

/* The newest item that quarantined a request, or NULL. */
static const struct quarantine_item *
find_item(const struct control *c, const struct fingerprint *f)
{
	const struct quarantine_item *item;
	uint32_t i;

	for (i = quarantine_news_count(c->quarantine); i > 0; i--) {
		item = quarantine_news_at(c->quarantine, i - 1);
		if (item->kind == QUARANTINE_HELD &&
		    item->prints[0].content == f->content &&
		    item->prints[0].caller == f->caller)
			return item;
	}
	return NULL;
}

static json_t *
entry_json(const struct control *c, const struct quarantine_entry *e)
{
	const struct quarantine_item *item = find_item(c, &e->print);
	uint64_t age_ms = control_now(c) - MIN(control_now(c), e->since_ms);
	uint32_t crashes = item != NULL ? item->crashes : e->crashes;
	char text[FINGERPRINT_TEXT_BYTES];

	return json_pack("{s:s,s:I,s:i,s:I,s:s,s:s,s:s}", "request",
	    fingerprint_text(&e->print, text), "since_wall_ms",
	    (json_int_t)(clock_wall_ms() - age_ms), "crashes", (int)crashes,
	    "asked_here", (json_int_t)e->asked, "told_by",
	    item != NULL ? item->host : "", "asks",
	    item != NULL ? item->what : "", "caller",
	    item != NULL ? item->caller : "");
}

json_t *
control_quarantine_json(struct control *c)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	json_t *out = json_array();
	guint i;

	guard_quarantine_list(c->guard, list);
	for (i = 0; i < list->len; i++)
		json_array_append_new(out,
		    entry_json(
			c, &g_array_index(list, struct quarantine_entry, i)));
	g_array_unref(list);
	return out;
}

static bool
is_quarantined(struct control *c, const struct fingerprint *f)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	bool found = false;
	guint i;

	guard_quarantine_list(c->guard, list);
	for (i = 0; i < list->len && !found; i++)
		found = fingerprint_equal(
		    &g_array_index(list, struct quarantine_entry, i).print, f);
	g_array_unref(list);
	return found;
}

enum status
control_quarantine_release(struct control *c, const struct fingerprint *f)
{
	struct quarantine_item item = {.kind = QUARANTINE_CLEARED,
	    .at_ms = control_now(c),
	    .n_prints = 1,
	    .prints = {{f->content, f->caller}}};
	uint64_t wall_ms = clock_wall_ms();
	char text[FINGERPRINT_TEXT_BYTES];

	if (!is_quarantined(c, f))
		return status_set(STATUS_NOT_FOUND,
		    "No such request is quarantined here; see the list.");
	(void)g_strlcpy(item.host, c->settings->host, sizeof(item.host));
	item.id = hash64(&wall_ms, sizeof(wall_ms),
	    hash64(f, sizeof(*f), ID_SEED) ^
		hash64(item.host, strlen(item.host), ID_SEED));
	log_warning(
	    "request=%s is released by an operator", fingerprint_text(f, text));
	guard_apply_quarantine_item(c->guard, &item);
	distribute(c, &item);
	return STATUS_OK;
}
