/*
 * Collects a version from the platform.
 */
#include <string.h>

#include "base/clock.h"
#include "config/section.h"
#include "intake_priv.h"
#include "spread/peers.h"

/* Most versions whose rows are read and merged; beyond that the whole list is
 * read. */
#define ROWS_MAX 50

/* Most objects read concurrently. */
#define PARALLEL_MAX 8

/* A read without a result for this long counts as failed, and peers are asked
 * again; a result that arrives later is still used. */
#define READ_TIMEOUT_MS 20000

/* Slots are this many times longer for a node that holds no version, since the
 * node before it reads the whole configuration. */
#define FULL_READ_FACTOR 10

/* Longest extra delay before the content is read; the nodes of the slots before
 * may be gone or cut off. */
#define CONTENT_DELAY_MAX_MS 30000

#define MS_PER_S 1000
#define KEY_BYTES 32

/* This node's slot in the order in which nodes read a version from the
 * platform: the first readers of all data centres, by the version's rank of
 * data centres, then the second readers and so on; nodes that are no readers
 * come last, in a random slot. */
static uint32_t
intake_source_slot(const struct intake *in, uint64_t now_ms)
{
	char key[KEY_BYTES];
	uint32_t rank, centres, readers;

	g_snprintf(key, sizeof(key), "version %" G_GUINT64_FORMAT, in->target);
	rank = peers_data_centre_rank(in->env, now_ms, key, &centres);
	if (in->env->reader_rank != PEERS_RANK_NONE)
		return in->env->reader_rank * centres + rank;
	readers = in->env->profile.readers * centres;
	return readers + env_random_below(in->env, readers + 1);
}

/* Length of a slot. */
static uint64_t
intake_source_slot_ms(const struct intake *in)
{
	uint64_t slot_ms = in->env->profile.source_wait_ms;

	return catalog_version(in->env->catalog) == 0
	    ? slot_ms * FULL_READ_FACTOR
	    : slot_ms;
}

void
intake_source_schedule(struct intake *in, uint64_t from_ms)
{
	in->source_slot = intake_source_slot(in, from_ms);
	in->source_ms = MIN(in->source_ms,
	    from_ms + in->source_slot * intake_source_slot_ms(in));
}

/*
 * Schedules the reads of the content.  The number of missing sections
 * determines how long they take: if longer than a slot, the start is delayed
 * further, so that the nodes don't all read the same content at the same time.
 */
static void
intake_source_schedule_content(struct intake *in, uint64_t now_ms)
{
	uint64_t slot_ms = intake_source_slot_ms(in);
	uint64_t read_ms = catalog_stage_n_missing(in->stage) * MS_PER_S /
	    in->env->profile.source_reads_per_s;

	in->content_start_ms = now_ms;
	if (read_ms > slot_ms)
		in->content_start_ms +=
		    MIN(in->source_slot * (read_ms - slot_ms),
			CONTENT_DELAY_MAX_MS);
}

int
intake_source_available(const struct intake *in, uint64_t now_ms)
{
	return backoff_expired(&in->source_backoff, now_ms);
}

void
intake_source_failed(struct intake *in, uint64_t now_ms)
{
	backoff_failed(&in->source_backoff, now_ms, in->env->rng);
	intake_stop(in);
}

/* Takes one read from the budget, or schedules a retry.
 *
 * Return: 1 if a read was available, else 0.
 */
static int
intake_source_take_token(struct intake *in, uint64_t now_ms)
{
	in->budget_ms = DEADLINE_NEVER;
	if (budget_take(&in->source_budget, now_ms, 1))
		return 1;
	in->budget_ms = budget_ready_ms(&in->source_budget, now_ms, 1);
	return 0;
}

static void
intake_read_versions(struct intake *in, uint64_t now_ms)
{
	struct spread_action *a;
	uint64_t held;

	if (!intake_source_take_token(in, now_ms))
		return;
	held = catalog_version(in->env->catalog);
	a = env_push_action(in->env, SPREAD_READ_VERSIONS);
	a->to = in->target;
	a->from = held + 1;
	if (held == 0 || in->need_full || in->target - held > ROWS_MAX)
		a->from = in->target;
	in->env->stats.version_reads++;
	in->step = INTAKE_LIST;
	in->list.version = in->target;
	in->provider = INTAKE_SOURCE;
	in->deadline_ms = now_ms + READ_TIMEOUT_MS;
	in->list_peer.port = 0;
}

static int
intake_find_request(
    const struct intake *in, const struct digest *d, uint32_t *at)
{
	uint32_t i;

	for (i = 0; i < in->requested->len; i++) {
		if (hash_digest_equal(
			&g_array_index(in->requested, struct digest, i), d)) {
			*at = i;
			return 1;
		}
	}
	return 0;
}

static void
intake_read_object(
    struct intake *in, uint64_t now_ms, const struct digest *d, int list)
{
	struct spread_action *a;

	a = env_push_action(in->env, SPREAD_READ_OBJECT);
	a->digest = *d;
	a->list = list;
	in->env->stats.object_reads++;
	in->provider = INTAKE_SOURCE;
	in->deadline_ms = now_ms + READ_TIMEOUT_MS;
}

static void
intake_read_sections(struct intake *in, uint64_t now_ms)
{
	const struct digest *d;
	GArray *missing;
	uint32_t i, at;

	if (now_ms < in->content_start_ms) {
		in->budget_ms = in->content_start_ms;
		in->deadline_ms = in->content_start_ms + READ_TIMEOUT_MS;
		return;
	}
	missing = catalog_stage_missing(in->stage, 2 * PARALLEL_MAX);
	for (i = 0; i < missing->len && in->requested->len < PARALLEL_MAX;
	     i++) {
		d = &g_array_index(missing, struct digest, i);
		if (intake_find_request(in, d, &at))
			continue;
		if (!intake_source_take_token(in, now_ms))
			break;
		g_array_append_vals(in->requested, d, 1);
		intake_read_object(in, now_ms, d, 0);
	}
	g_array_unref(missing);
}

/* Schedules and starts the reads of missing content. */
static void
intake_read_content(struct intake *in, uint64_t now_ms)
{
	if (in->step != INTAKE_CONTENT)
		return;
	intake_source_schedule_content(in, now_ms);
	intake_read_sections(in, now_ms);
}

void
intake_source_ask(struct intake *in, uint64_t now_ms)
{
	if (in->step == INTAKE_CONTENT)
		intake_read_sections(in, now_ms);
	else if (in->step == INTAKE_IDLE)
		intake_read_versions(in, now_ms);
}

/* Merges the changes of consecutive versions: the last change of a section
 * wins.  The result is sorted by section. */
static GArray *
intake_merge_rows(const struct spread_version_row *rows, uint32_t n_rows)
{
	struct rec_section_change *c;
	GArray *merged;
	GTree *tree;
	GTreeNode *node;
	uint32_t i, j;

	tree = g_tree_new((GCompareFunc)(void (*)(void))strcmp);
	for (i = 0; i < n_rows; i++)
		for (j = 0; j < rows[i].n_changes; j++)
			g_tree_replace(tree,
			    (gpointer)rows[i].changes[j].section,
			    (gpointer)&rows[i].changes[j]);
	merged = g_array_new(FALSE, FALSE, sizeof(*c));
	for (node = g_tree_node_first(tree); node != NULL;
	     node = g_tree_node_next(node)) {
		c = g_tree_node_value(node);
		g_array_append_vals(merged, c, 1);
	}
	g_tree_destroy(tree);
	return merged;
}

static int
intake_rows_are_consecutive(const struct intake *in,
    const struct spread_version_row *rows, uint32_t n_rows)
{
	uint64_t held;
	uint32_t i;

	held = catalog_version(in->env->catalog);
	if (in->need_full || held == 0)
		return 0;
	for (i = 0; i < n_rows; i++)
		if (rows[i].whole || rows[i].version != held + 1 + i)
			return 0;
	return 1;
}

void
intake_on_versions(struct intake *in, uint64_t now_ms, enum status st,
    const struct spread_version_row *rows, uint32_t n_rows)
{
	struct catalog_delta delta;
	const struct spread_version_row *last;

	if (in->provider != INTAKE_SOURCE || in->step != INTAKE_LIST)
		return;
	if (st != STATUS_OK || n_rows == 0 ||
	    rows[n_rows - 1].version != in->list.version) {
		intake_source_failed(in, now_ms);
		return;
	}
	backoff_succeeded(&in->source_backoff);
	last = &rows[n_rows - 1];
	if (!intake_rows_are_consecutive(in, rows, n_rows)) {
		in->list.root = last->root;
		intake_read_object(in, now_ms, &last->root, 1);
		return;
	}
	delta.from_version = catalog_version(in->env->catalog);
	delta.version = last->version;
	delta.root = last->root;
	delta.changes = intake_merge_rows(rows, n_rows);
	delta.skips = false;
	intake_list_done(in, now_ms, intake_begin_delta(in, &delta));
	g_array_unref(delta.changes);
	intake_read_content(in, now_ms);
}

static void
intake_on_list(struct intake *in, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len)
{
	GArray *list;

	if (st == STATUS_OK)
		st = section_list_decode(data, len, &in->list.root, &list);
	if (st != STATUS_OK) {
		intake_source_failed(in, now_ms);
		return;
	}
	backoff_succeeded(&in->source_backoff);
	st = catalog_stage_begin_full(in->env->catalog, in->list.version,
	    &in->list.root, list, &in->stage);
	g_array_unref(list);
	intake_list_done(in, now_ms, st);
	intake_read_content(in, now_ms);
}

void
intake_on_object(struct intake *in, uint64_t now_ms, enum status st,
    const struct digest *digest, const uint8_t *data, size_t len)
{
	uint32_t at;

	if (in->step == INTAKE_LIST && in->provider == INTAKE_SOURCE &&
	    hash_digest_equal(digest, &in->list.root)) {
		intake_on_list(in, now_ms, st, data, len);
		return;
	}
	if (in->step != INTAKE_CONTENT)
		return;
	if (intake_find_request(in, digest, &at))
		g_array_remove_index_fast(in->requested, at);
	if (st == STATUS_OK) {
		st = catalog_stage_add(in->stage, data, len);
		if (intake_too_large(in, now_ms, st))
			return;
	}
	if (st != STATUS_OK) {
		if (in->provider == INTAKE_SOURCE)
			intake_source_failed(in, now_ms);
		return;
	}
	backoff_succeeded(&in->source_backoff);
	intake_check_complete(in, now_ms);
	if (in->step == INTAKE_CONTENT && in->provider == INTAKE_SOURCE)
		intake_read_sections(in, now_ms);
}
