/*
 * Reads the feed for the spread.
 */
#define LOG_PART "feed"

#include "base/log.h"
#include "config/bundle_build.h"
#include "control_priv.h"

/*
 * Maximum time that the platform waits for a change before it answers a long
 * poll.  The two readers of a data centre are answered alternately, one every
 * 0.9 s, so the other hosts detect within little more than that time that
 * neither is answered.  A shorter time costs more calls.
 */
#define FEED_WAIT_MS 1800

/* Least time between two lines about a lost feed. */
#define STATUS_LOG_MS 5000

/* Size of the warnings in a log line; holds about five. */
#define WARNINGS_LINE_BYTES 512

static void
log_lost(const struct control *c, enum status st)
{
	if (c->feed_answered_ms == 0)
		log_warning("The platform's feed can't be read (%s): %s",
		    status_name(st), status_message());
	else
		log_warning("The platform's feed is lost (%s), last answered "
			    "%" G_GUINT64_FORMAT " ms ago, left_out=%u: %s",
		    status_name(st), control_now(c) - c->feed_answered_ms,
		    c->feed_left_out, status_message());
}

static void
log_recovery(struct control *c)
{
	c->feed_answered_ms = control_now(c);
	c->feed_status = STATUS_OK;
	if (c->feed_logged_status == STATUS_OK)
		return;
	c->feed_logged_status = STATUS_OK;
	log_info("The platform's feed is back.");
}

/* Logs a line each time the platform fails or recovers.  A failure that follows
 * another one closely is logged only if it lasts. */
static void
log_status(struct control *c, enum status st)
{
	bool is_new = c->feed_status == STATUS_OK;

	if (st == STATUS_OK) {
		log_recovery(c);
		return;
	}
	c->feed_status = st;
	if (c->feed_logged_status != STATUS_OK)
		return;
	if (control_now(c) < c->feed_log_ms) {
		c->feed_left_out += is_new ? 1 : 0;
		return;
	}
	log_lost(c, st);
	c->feed_logged_status = st;
	c->feed_left_out = 0;
	c->feed_log_ms = control_now(c) + STATUS_LOG_MS;
}

/* Logs a version that is read and not applied: an older one than that in force,
 * which may also be a late answer, or the same number with other content. */
static void
log_not_applied(struct control *c, uint64_t version, const struct digest *root)
{
	uint64_t in_force = catalog_version(c->catalog);

	if (version > in_force || version == c->feed_not_applied)
		return;
	if (version < in_force)
		log_info("The platform answered with version %" G_GUINT64_FORMAT
			 ", which is older than %" G_GUINT64_FORMAT
			 " in force; the newer one is kept.",
		    version, in_force);
	else if (!hash_digest_equal(root, catalog_root(c->catalog)))
		log_error("The platform has version %" G_GUINT64_FORMAT
			  " with another content than is in force; write it "
			  "again under a higher number.",
		    version);
	else
		return;
	c->feed_not_applied = version;
}

void
control_pass_version(
    struct control *c, const struct rec_head *head, const struct bundle *b)
{
	GBytes **contents = g_new(GBytes *, b->sections->len);
	const struct section *section;
	struct digest root;
	GArray *list;
	guint i;

	bundle_section_list(b, &list, &root);
	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		contents[i] = section->content;
	}
	spread_on_full_version(
	    c->spread, control_now(c), head, list, contents, b->sections->len);
	g_free(contents);
	g_array_unref(list);
}

/* Passes the sections of a bundle to the spread. */
static void
pass_bundle(
    struct control *c, const struct feed_answer *a, const struct bundle *b)
{
	struct rec_head head = {.seq = a->version,
	    .version = a->version,
	    .in_force = a->version,
	    .state = HEAD_ROLLING,
	    .root = b->root};

	c->feed_head = head;
	log_not_applied(c, a->version, &head.root);
	control_pass_version(c, &head, b);
}

static size_t
largest_section(const struct bundle *b)
{
	const struct section *section;
	size_t largest = 0;
	guint i;

	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		largest = MAX(largest, g_bytes_get_size(section->content));
	}
	return largest;
}

/* Logs which parts of a version are applied differently from what is
 * written. */
static void
log_warnings(const struct feed_answer *a, const struct bundle *b)
{
	char line[WARNINGS_LINE_BYTES], *text = bundle_warnings(b);
	char *all = g_strjoin(" ", a->notes != NULL ? a->notes : text,
	    a->notes != NULL ? text : NULL, NULL);

	refused_copy_text(line, sizeof(line), all);
	if (line[0] != '\0')
		log_warning("version %" G_GUINT64_FORMAT
			    " is applied with warnings, %u of the bundle: %s",
		    a->version, b->n_warnings, line);
	g_free(all);
	g_free(text);
}

/* Return: whether the answer contains a usable bundle. */
static int
handle_answer(struct control *c, const struct feed_answer *a)
{
	struct bundle *b = NULL;
	int ok;

	control_news_add_seen(c, a->version);
	control_rollout_add_orders(c, a->orders, a->n_orders);
	if (a->problem != NULL)
		control_refused_record(c, a->version, a->problem);
	if (a->build == NULL)
		return 0;
	ok = bundle_build_end(a->build, &b) == STATUS_OK;
	if (ok) {
		control_refused_version_readable(
		    c, a->version, b->n_warnings + (a->notes != NULL ? 1 : 0));
		log_warnings(a, b);
		log_info("version %" G_GUINT64_FORMAT
			 " was read from the platform, %u sections, %zu bytes,"
			 " largest section %zu bytes",
		    a->version, b->sections->len, a->row_bytes,
		    largest_section(b));
		pass_bundle(c, a, b);
	} else {
		control_refused_record(c, a->version, status_message());
	}
	bundle_free(b);
	return ok;
}

/* Logs a change of the platform's status, and records a configuration that is
 * too large to be read as refused. */
static void
record_status(struct control *c, enum status st)
{
	log_status(c, st);
	if (st == STATUS_TOO_LARGE)
		control_refused_record(c, 0, status_message());
}

static struct spread_read_end
read_end_from(const struct feed_answer *a)
{
	struct spread_read_end end = {0};

	if (a == NULL)
		return end;
	end.ok = 1;
	end.has_row = a->row;
	end.body_ms = a->body_ms;
	end.position = a->position;
	return end;
}

static void
on_head(enum status st, const struct feed_answer *a, void *arg)
{
	struct control *c = arg;
	const struct rec_head *head =
	    c->feed_head.seq != 0 ? &c->feed_head : NULL;
	struct spread_read_end end = read_end_from(a);

	c->feed_poll_pending = 0;
	record_status(c, st);
	if (st == STATUS_OK)
		spread_on_head_read_ended(c->spread, control_now(c), &end);
	if (st != STATUS_OK)
		spread_on_head(c->spread, control_now(c), st, NULL);
	else if (!handle_answer(c, a))
		spread_on_head(c->spread, control_now(c),
		    head != NULL ? STATUS_OK : STATUS_NOT_FOUND, head);
	control_pump(c);
}

/* Extends the deadline of the read: a large version takes time on a slow
 * link. */
static void
on_answer_begun(void *arg)
{
	struct control *c = arg;

	spread_on_head_begun(c->spread, control_now(c));
	control_pump(c);
}

/* A failed probe is not logged as a failure of the feed: the long poll shows
 * whether the feed is available. */
static void
on_probe(enum status st, const struct feed_answer *a, void *arg)
{
	struct control *c = arg;
	struct spread_read_end end = read_end_from(a);

	if (st == STATUS_OK)
		(void)handle_answer(c, a);
	spread_on_probe_ended(c->spread, control_now(c), &end);
	control_pump(c);
}

/* Ends a read of contents that no peer delivered.  The platform holds only the
 * newest version. */
static void
on_versions(enum status st, const struct feed_answer *a, void *arg)
{
	struct control *c = arg;

	c->feed_fetch_pending = 0;
	record_status(c, st);
	if (st == STATUS_OK && !handle_answer(c, a))
		st = STATUS_UNAVAILABLE;
	/* The version delivered may be older than the head gossiped by peers.
	 * The read ends in any case, so that the contents are requested from
	 * peers again. */
	spread_on_versions(c->spread, control_now(c),
	    st == STATUS_OK ? STATUS_UNAVAILABLE : st, NULL, 0);
	control_pump(c);
}

/* Ends a read of versions at once: the read of the feed that is already in
 * flight will deliver the newest version. */
static void
on_read_pending(void *arg)
{
	struct control *c = arg;

	spread_on_versions(
	    c->spread, control_now(c), STATUS_UNAVAILABLE, NULL, 0);
	control_pump(c);
}

void
control_feed_set(struct control *c, struct feed *feed)
{
	c->feed = feed;
	feed_watch(feed, on_answer_begun, c);
	spread_set_long_poll(c->spread, FEED_WAIT_MS);
}

void
control_feed_read(struct control *c, const struct spread_action *a)
{
	if (a->kind == SPREAD_READ_HEAD) {
		c->feed_poll_pending = 1;
		feed_read(
		    c->feed, a->from, control_now(c) + a->wait_ms, on_head, c);
	} else if (a->kind == SPREAD_PROBE_HEAD) {
		feed_probe(c->feed, a->skip_next != 0, on_probe, c);
	} else if (a->kind == SPREAD_READ_VERSIONS &&
	    (c->feed_poll_pending || c->feed_fetch_pending)) {
		loop_post(c->loop, on_read_pending, c);
	} else if (a->kind == SPREAD_READ_VERSIONS) {
		c->feed_fetch_pending = 1;
		feed_read(c->feed, 0, 0, on_versions, c);
	}
}
