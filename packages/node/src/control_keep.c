/*
 * Quarantined requests as rows at the platform.  They are read after a start,
 * since all nodes may have lost power at once.
 */
#define LOG_PART "quarantine"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "control_priv.h"
#include "node/guard.h"
#include "traffic/fingerprint.h"

#define ID_SEED 15

static struct fingerprint
fingerprint_of(const struct quarantine_item *item)
{
	struct fingerprint f = {
	    item->prints[0].content, item->prints[0].caller};

	return f;
}

/* Rows */

static char *
row_to_json(const struct control *c, const struct quarantine_item *item)
{
	uint64_t age_ms = control_now(c) - MIN(control_now(c), item->at_ms);
	json_t *o = json_pack("{s:I,s:i,s:s,s:s,s:s}", "since_wall_ms",
	    (json_int_t)(clock_wall_ms() - age_ms), "crashes",
	    (int)item->crashes, "host", item->host, "what", item->what,
	    "caller", item->caller);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

/* Reads the texts, which may be missing: only the fingerprint is needed to
 * refuse a request. */
static void
read_texts(const json_t *o, struct quarantine_item *item)
{
	const char *host = json_string_value(json_object_get(o, "host"));
	const char *what = json_string_value(json_object_get(o, "what"));
	const char *caller = json_string_value(json_object_get(o, "caller"));

	if (host != NULL)
		(void)g_strlcpy(item->host, host, sizeof(item->host));
	if (what != NULL)
		(void)g_strlcpy(item->what, what, sizeof(item->what));
	if (caller != NULL)
		(void)g_strlcpy(item->caller, caller, sizeof(item->caller));
}

static bool
row_parse(const struct control *c, const struct keep_row *row,
    struct quarantine_item *item)
{
	uint64_t now_ms = control_now(c), wall_ms = clock_wall_ms(), since_ms;
	struct fingerprint f;
	json_t *o;

	if (!fingerprint_parse(row->key, &f))
		return false;
	o = json_loads(row->value, 0, NULL);
	if (o == NULL)
		return false;
	memset(item, 0, sizeof(*item));
	item->kind = QUARANTINE_HELD;
	/* Every node that reads the row derives the same id. */
	item->id = hash64(row->key, strlen(row->key), ID_SEED);
	since_ms =
	    (uint64_t)json_integer_value(json_object_get(o, "since_wall_ms"));
	item->at_ms = now_ms - MIN(now_ms, wall_ms - MIN(wall_ms, since_ms));
	item->crashes =
	    (uint32_t)json_integer_value(json_object_get(o, "crashes"));
	read_texts(o, item);
	item->prints[0].content = f.content;
	item->prints[0].caller = f.caller;
	item->n_prints = 1;
	json_decref(o);
	return item->id != 0;
}

/* Whether the item @cleared ends the quarantine of the item @held. */
static bool
clears(
    const struct quarantine_item *cleared, const struct quarantine_item *held)
{
	const struct rec_print *c = &cleared->prints[0];
	const struct rec_print *h = &held->prints[0];

	return held->kind == QUARANTINE_HELD && c->content == h->content &&
	    (c->caller == 0 || h->caller == 0 || c->caller == h->caller);
}

static void
remove_rows(struct control *c, const struct quarantine_item *cleared)
{
	const struct quarantine_item *item;
	char key[FINGERPRINT_TEXT_BYTES];
	struct fingerprint f;
	uint32_t i;

	for (i = 0; i < quarantine_news_count(c->quarantine); i++) {
		item = quarantine_news_at(c->quarantine, i);
		if (!clears(cleared, item))
			continue;
		f = fingerprint_of(item);
		quarantine_rows_put(
		    &c->quarantine_rows, fingerprint_text(&f, key), NULL);
	}
}

void
control_keep_record(struct control *c, const struct quarantine_item *item)
{
	struct fingerprint f = fingerprint_of(item);
	char key[FINGERPRINT_TEXT_BYTES];
	char *text;

	if (c->keep == NULL || item->kind == QUARANTINE_CRASH)
		return;
	if (item->kind != QUARANTINE_HELD) {
		remove_rows(c, item);
		return;
	}
	text = row_to_json(c, item);
	quarantine_rows_put(
	    &c->quarantine_rows, fingerprint_text(&f, key), text);
	free(text);
}

/* Calls */

static void
finish(struct control *c, enum status st, const char *what)
{
	if (st != STATUS_OK)
		log_warning(
		    "quarantined requests can't be %s at the platform (%s)",
		    what, status_name(st));
	quarantine_rows_done(
	    &c->quarantine_rows, st == STATUS_OK, control_now(c));
	control_keep_tick(c);
	control_pump(c);
}

static void
on_put(enum status st, void *arg)
{
	finish(arg, st, "written");
}

/* Whether a request was released after it was quarantined. */
static bool
is_released(const struct control *c, const struct quarantine_item *held)
{
	const struct quarantine_item *item;
	uint32_t i;

	for (i = 0; i < quarantine_news_count(c->quarantine); i++) {
		item = quarantine_news_at(c->quarantine, i);
		if (item->kind == QUARANTINE_CLEARED &&
		    item->at_ms >= held->at_ms && clears(item, held))
			return true;
	}
	return false;
}

/* Return: whether the row could be read. */
static bool
add_row(struct control *c, const struct keep_row *row)
{
	struct quarantine_item item;

	if (!row_parse(c, row, &item)) {
		log_warning("row %s of the quarantine can't be read", row->key);
		return false;
	}
	/* An older copy of the store still has rows that were removed. */
	if (is_released(c, &item)) {
		quarantine_rows_put(&c->quarantine_rows, row->key, NULL);
		return true;
	}
	quarantine_news_add(c->quarantine, &item, control_now(c));
	guard_apply_quarantine_item(c->guard, &item);
	return true;
}

static bool
has_row(const struct keep_row *rows, uint32_t n, const char *key)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (strcmp(rows[i].key, key) == 0)
			return true;
	return false;
}

/* Writes the rows of quarantined requests that the store lacks, since it came
 * back from an older copy. */
static void
put_missing_rows(struct control *c, const struct keep_row *rows, uint32_t n)
{
	const struct quarantine_item *item;
	char key[FINGERPRINT_TEXT_BYTES];
	struct fingerprint f;
	uint32_t i;

	for (i = 0; i < quarantine_news_count(c->quarantine); i++) {
		item = quarantine_news_at(c->quarantine, i);
		if (item->kind != QUARANTINE_HELD || is_released(c, item))
			continue;
		f = fingerprint_of(item);
		if (!has_row(rows, n, fingerprint_text(&f, key)))
			control_keep_record(c, item);
	}
}

static void
on_rows(enum status st, const struct keep_row *rows, uint32_t n, void *arg)
{
	struct control *c = arg;
	uint32_t i, n_valid = 0;

	for (i = 0; i < n; i++)
		n_valid += add_row(c, &rows[i]) ? 1 : 0;
	if (st == STATUS_OK) {
		log_info("%u quarantined requests were read from the platform",
		    n_valid);
		put_missing_rows(c, rows, n);
	}
	finish(c, st, "read");
}

/* After a start the first hosts of each data centre read the rows for all of
 * its hosts. */
static bool
is_first_reader(const struct control *c)
{
	return membership_phase(c->membership) == MEMBERSHIP_JOINED &&
	    spread_is_first_reader(c->spread, control_now(c)) != 0;
}

void
control_keep_tick(struct control *c)
{
	const struct quarantine_row *row = NULL;

	if (c->keep == NULL)
		return;
	switch (quarantine_rows_next(
	    &c->quarantine_rows, is_first_reader(c), control_now(c), &row)) {
	case QUARANTINE_ROWS_READ:
		c->keep->ops->read(c->keep, on_rows, c);
		return;
	case QUARANTINE_ROWS_PUT:
		c->keep->ops->put(c->keep, row->key, row->value, on_put, c);
		return;
	case QUARANTINE_ROWS_NONE:
		return;
	}
}

uint64_t
control_keep_next_ms(const struct control *c)
{
	if (c->keep == NULL)
		return DEADLINE_NEVER;
	return quarantine_rows_due_ms(&c->quarantine_rows, is_first_reader(c));
}
