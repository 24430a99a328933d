/*
 * Reads the feed for the spread decisions.
 */
#define LOG_PART "feed"

#include "base/log.h"
#include "config/bundle_build.h"
#include "control_priv.h"

/*
 * How long the platform may wait for a change before it answers.  The readers
 * of a data centre are answered in turn, so the others find within 0.9 s and
 * some slack that none of two is; a shorter time costs more calls.
 */
#define FEED_WAIT_MS 1800

/* Room in a line for the first warnings of a version: some five of them. */
#define WARNINGS_BYTES 512

/* One line each time that the platform is lost or back. */
static void
note_status(struct control *c, enum status st)
{
	if (st == STATUS_OK)
		c->answered_ms = control_now(c);
	if ((st == STATUS_OK) == (c->feed_status == STATUS_OK))
		return;
	c->feed_status = st;
	if (st == STATUS_OK)
		log_info("The platform's feed is back.");
	else if (c->answered_ms == 0)
		log_warning("The platform's feed can't be read (%s): %s",
		    status_name(st), status_message());
	else
		log_warning("The platform's feed is lost (%s), last answered "
			    "%" G_GUINT64_FORMAT " ms ago: %s",
		    status_name(st), control_now(c) - c->answered_ms,
		    status_message());
}

/* The sections of a bundle, for the spread. */
static void
give(struct control *c, const struct feed_answer *a, const struct bundle *b)
{
	struct rec_head head = {.seq = a->version,
	    .version = a->version,
	    .in_force = a->version,
	    .state = HEAD_ROLLING,
	    .root = b->root};
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
	c->given = head;
	spread_on_given(
	    c->spread, control_now(c), &head, list, contents, b->sections->len);
	g_free(contents);
	g_array_unref(list);
}

static size_t
largest_section(const struct bundle *b)
{
	const struct section *section;
	size_t most = 0;
	guint i;

	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		most = MAX(most, g_bytes_get_size(section->content));
	}
	return most;
}

/* What is run of a version otherwise than it is written. */
static void
log_warnings(const struct feed_answer *a, const struct bundle *b)
{
	char line[WARNINGS_BYTES], *text = bundle_warnings(b);
	char *all = g_strjoin(" ", a->notes != NULL ? a->notes : text,
	    a->notes != NULL ? text : NULL, NULL);

	refused_text(line, sizeof(line), all);
	if (line[0] != '\0')
		log_warning("version %" G_GUINT64_FORMAT
			    " is run with warnings, %u of the bundle: %s",
		    a->version, b->n_warnings, line);
	g_free(all);
	g_free(text);
}

/* Return: whether the answer holds a bundle that can be used. */
static int
take(struct control *c, const struct feed_answer *a)
{
	struct bundle *b = NULL;
	int ok;

	control_news_seen(c, a->version);
	control_rollout_orders(c, a->orders, a->n_orders);
	if (a->problem != NULL)
		control_refused_note(c, a->version, a->problem);
	if (a->build == NULL)
		return 0;
	ok = bundle_build_end(a->build, &b) == STATUS_OK;
	if (ok) {
		control_refused_given(
		    c, a->version, b->n_warnings + (a->notes != NULL ? 1 : 0));
		log_warnings(a, b);
		log_info("version %" G_GUINT64_FORMAT
			 " came from the platform, %u sections, %zu bytes,"
			 " largest section %zu bytes",
		    a->version, b->sections->len, a->row_bytes,
		    largest_section(b));
		give(c, a, b);
	} else {
		control_refused_note(c, a->version, status_message());
	}
	bundle_free(b);
	return ok;
}

/* A configuration that is too large to be read is refused unread. */
static void
note_read(struct control *c, enum status st)
{
	note_status(c, st);
	if (st == STATUS_TOO_LARGE)
		control_refused_note(c, 0, status_message());
}

static struct spread_read_end
end_of(const struct feed_answer *a)
{
	struct spread_read_end end = {0};

	if (a == NULL)
		return end;
	end.ok = 1;
	end.news = a->row;
	end.body_ms = a->body_ms;
	end.position = a->position;
	return end;
}

static void
on_head(enum status st, const struct feed_answer *a, void *arg)
{
	struct control *c = arg;
	const struct rec_head *head = c->given.seq != 0 ? &c->given : NULL;
	struct spread_read_end end = end_of(a);

	c->following = 0;
	note_read(c, st);
	if (st == STATUS_OK)
		spread_on_head_read(c->spread, control_now(c), &end);
	if (st != STATUS_OK)
		spread_on_head(c->spread, control_now(c), st, NULL);
	else if (!take(c, a))
		spread_on_head(c->spread, control_now(c),
		    head != NULL ? STATUS_OK : STATUS_NOT_FOUND, head);
	control_pump(c);
}

/* A version that is large takes a while on a slow link. */
static void
on_begun(void *arg)
{
	struct control *c = arg;

	spread_on_head_begun(c->spread, control_now(c));
	control_pump(c);
}

/* One that is refused says nothing of the feed: the read that waits will. */
static void
on_probe(enum status st, const struct feed_answer *a, void *arg)
{
	struct control *c = arg;
	struct spread_read_end end = end_of(a);

	if (st == STATUS_OK)
		(void)take(c, a);
	spread_on_probed(c->spread, control_now(c), &end);
	control_pump(c);
}

/* Content that peers don't give: the platform holds the newest version only. */
static void
on_versions(enum status st, const struct feed_answer *a, void *arg)
{
	struct control *c = arg;

	c->fetching = 0;
	note_read(c, st);
	if (st == STATUS_OK && !take(c, a))
		st = STATUS_UNAVAILABLE;
	/* What was given may be older than what peers told of: the read is
	 * over in any case, so that peers are asked again. */
	spread_on_versions(c->spread, control_now(c),
	    st == STATUS_OK ? STATUS_UNAVAILABLE : st, NULL, 0);
	control_pump(c);
}

/* A read of the feed is under way and gives what there is by itself. */
static void
on_followed(void *arg)
{
	struct control *c = arg;

	spread_on_versions(
	    c->spread, control_now(c), STATUS_UNAVAILABLE, NULL, 0);
	control_pump(c);
}

void
control_feed_use(struct control *c, struct feed *feed)
{
	c->feed = feed;
	feed_watch(feed, on_begun, c);
	spread_follow(c->spread, FEED_WAIT_MS);
}

void
control_feed_read(struct control *c, const struct spread_action *a)
{
	if (a->kind == SPREAD_READ_HEAD) {
		c->following = 1;
		feed_read(
		    c->feed, a->from, control_now(c) + a->wait_ms, on_head, c);
	} else if (a->kind == SPREAD_PROBE_HEAD) {
		feed_probe(c->feed, a->beyond != 0, on_probe, c);
	} else if (a->kind == SPREAD_READ_VERSIONS &&
	    (c->following || c->fetching)) {
		loop_post(c->loop, on_followed, c);
	} else if (a->kind == SPREAD_READ_VERSIONS) {
		c->fetching = 1;
		feed_read(c->feed, 0, 0, on_versions, c);
	}
}
