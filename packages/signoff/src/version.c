/*
 * Sign-off and supersede: create a version on top of the newest one.
 */
#include <string.h>

#include "signoff_defs.h"

static bool
is_supersede(const struct signoff *r)
{
	return r->req.kind == SIGNOFF_SUPERSEDE;
}

/* Whether the version is to follow the newest known one, not the store's. */
static bool
is_restore(const struct signoff *r)
{
	return r->req.restores ||
	    (r->req.may_restore && r->head.seq < r->req.known_seq);
}

/* Adds the objects of a bundle: its sections, and the list under its root. */
static void
add_objects(struct signoff *r)
{
	const struct bundle *b = r->req.bundle;
	char hex[DIGEST_HEX_BYTES], key[STORE_KEY_BYTES];
	const struct section *section;
	uint32_t i;

	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		hash_digest_hex(&section->config->digest, hex);
		g_snprintf(key, sizeof(key), "section/%s", hex);
		puts_add(r->puts, key, section->config->section,
		    g_bytes_ref(section->content));
	}
	hash_digest_hex(&r->root, hex);
	g_snprintf(key, sizeof(key), "root/%s", hex);
	puts_add(r->puts, key, NULL, section_list_encode(r->list, NULL));
}

static void
version_begin(struct signoff *r, uint64_t now_ms)
{
	if (is_supersede(r)) {
		signoff_enter(r, PHASE_SOURCE_ROW, now_ms);
		return;
	}
	bundle_section_list(r->req.bundle, &r->list, &r->root);
	add_objects(r);
	signoff_enter(r, PHASE_HEAD, now_ms);
}

void
version_issue_source_row(struct signoff *r, uint64_t now_ms)
{
	step_read_versions(r, r->req.version, r->req.version, now_ms);
}

void
version_on_source_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto)
{
	if (st != STATUS_OK || upto < r->req.version) {
		signoff_retry_later(r, now_ms);
		return;
	}
	if (n == 0 || rows[0].version != r->req.version) {
		outcome_not_found(r,
		    "There is no version %" G_GUINT64_FORMAT
		    "; see the history.",
		    r->req.version);
		return;
	}
	r->n_failures = 0;
	r->root = rows[0].root;
	signoff_enter(r, PHASE_HEAD, now_ms);
}

/* An earlier start with a parent can have created only the version after that
 * parent. */
static struct range
version_first_search(const struct signoff *r)
{
	struct range range = {1, 0};

	if (is_restore(r))
		return range;
	if (r->req.has_parent) {
		range.low = r->req.parent + 1;
		range.high = MIN(range.low, r->head.version);
	} else if (!r->req.fresh) {
		range.high = r->head.version;
		if (range.high > SIGNOFF_REPEAT_VERSIONS_MAX)
			range.low =
			    range.high - SIGNOFF_REPEAT_VERSIONS_MAX + 1;
	}
	return range;
}

/*
 * Before a retry on top of newer versions, all rows since the base are
 * searched: another start of this operation may have been retried there as
 * well.  A restore's row is not the next one.
 */
static uint64_t
version_settle_limit(const struct signoff *r)
{
	if (r->row.version != r->base.version + 1 ||
	    (!r->req.has_parent && r->race_retries_left > 0))
		return r->head.version;
	return r->base.version + 1;
}

static void version_write(struct signoff *r, uint64_t now_ms);

/* The new row lists no changes: nodes hold another version than that of the
 * older row, or none. */
static void
restore_proceed(struct signoff *r, uint64_t now_ms)
{
	if (r->head.seq >= r->req.known_seq) {
		outcome_not_found(r,
		    "The platform has version %" G_GUINT64_FORMAT
		    " again; nothing is written.",
		    r->head.version);
		return;
	}
	r->base = r->head;
	if (is_supersede(r) && r->list == NULL)
		signoff_enter(r, PHASE_SOURCE_LIST, now_ms);
	else
		version_write(r, now_ms);
}

static void
version_proceed(struct signoff *r, uint64_t now_ms)
{
	if (is_restore(r)) {
		restore_proceed(r, now_ms);
		return;
	}
	if (r->req.has_parent && r->head.version < r->req.parent) {
		outcome_not_found(r,
		    "There is no version %" G_GUINT64_FORMAT
		    " to build on; the newest version is %" G_GUINT64_FORMAT
		    ". See the history.",
		    r->req.parent, r->head.version);
		return;
	}
	if (r->req.has_parent && r->head.version > r->req.parent) {
		outcome_conflict(r);
		return;
	}
	r->base = r->head;
	if (is_supersede(r) && r->list == NULL)
		signoff_enter(r, PHASE_SOURCE_LIST, now_ms);
	else
		signoff_enter(r, PHASE_BASE_ROW, now_ms);
}

/* Another operation was first: retry on top of it only if that was requested.
 */
static void
version_on_lost_race(struct signoff *r, uint64_t now_ms)
{
	if (r->head.version == r->base.version || r->req.restores) {
		/* There was only a halt in between, and the parent is the same;
		 * or a restore, which compares the head row anew. */
		version_proceed(r, now_ms);
	} else if (r->race_retries_left > 0) {
		r->race_retries_left--;
		version_proceed(r, now_ms);
	} else {
		outcome_conflict(r);
	}
}

const struct signoff_ops version_ops = {
    .begin = version_begin,
    .first_search = version_first_search,
    .settle_limit = version_settle_limit,
    .proceed = version_proceed,
    .on_lost_race = version_on_lost_race,
};

void
version_issue_source_list(struct signoff *r, uint64_t now_ms)
{
	step_get_list(r, &r->root, now_ms);
}

void
version_on_source_list(struct signoff *r, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len)
{
	if (st == STATUS_NOT_FOUND || st == STATUS_TOO_LARGE) {
		outcome_not_found(r,
		    "The platform no longer has the section list of version "
		    "%" G_GUINT64_FORMAT "; sign its bundle off again.",
		    r->req.version);
		return;
	}
	if (st != STATUS_OK ||
	    section_list_decode(data, len, &r->root, &r->list) != STATUS_OK) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	if (r->req.restores)
		version_write(r, now_ms);
	else
		signoff_enter(r, PHASE_BASE_ROW, now_ms);
}

/* Reads the newest version's row for its root, which the head row holds unless
 * that version is halted. */
void
version_issue_base_row(struct signoff *r, uint64_t now_ms)
{
	if (r->base.version > 0 && r->base.state == STORE_HALTED) {
		step_read_versions(r, r->base.version, r->base.version, now_ms);
		return;
	}
	r->base_root = r->base.root;
	signoff_enter(r, PHASE_BASE_LIST, now_ms);
}

void
version_on_base_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto)
{
	(void)upto;
	if (st != STATUS_OK || n != 1 || rows[0].version != r->base.version) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	r->base_root = rows[0].root;
	signoff_enter(r, PHASE_BASE_LIST, now_ms);
}

/* Marks the sections to write; those of the newest version are on the platform
 * already. */
static void
mark_needed(struct signoff *r, const GArray *changes)
{
	const struct rec_section_change *change;
	struct put *put;
	uint32_t i, j = 0;

	for (i = 0; i < r->puts->len; i++) {
		put = g_ptr_array_index(r->puts, i);
		if (put->section == NULL)
			continue;
		put->needed = false;
		for (; j < changes->len && !put->needed; j++) {
			change = &g_array_index(
			    changes, struct rec_section_change, j);
			if (strcmp(change->section, put->section) > 0)
				break;
			put->needed =
			    strcmp(change->section, put->section) == 0;
		}
	}
}

static GBytes *
encode_changes(const struct signoff *r, const GArray *changes)
{
	struct msg_version_changes m;
	GByteArray *out;

	memset(&m, 0, sizeof(m));
	m.whole = r->base_list == NULL;
	if (!m.whole) {
		m.changes = (struct rec_section_change *)changes->data;
		m.n_changes = changes->len;
	}
	m.replaced.seq = r->base.seq;
	m.replaced.in_force = r->base.in_force;
	m.replaced.halted = r->base.state == STORE_HALTED;
	g_strlcpy(m.replaced.op, r->base.op, sizeof(m.replaced.op));
	out = g_byte_array_new();
	msg_version_changes_encode(&m, out);
	if (out->len > STORE_CHANGES_MAX_BYTES) {
		m.whole = true;
		m.n_changes = 0;
		g_byte_array_set_size(out, 0);
		msg_version_changes_encode(&m, out);
	}
	return g_byte_array_free_to_bytes(out);
}

/* Numbers of versions that the store has lost are not used again; some of these
 * versions may not be known here. */
static uint64_t
newest_version(const struct signoff *r)
{
	return is_restore(r) ? r->req.known_version + SIGNOFF_RESTORE_GAP
			     : r->base.version;
}

static uint64_t
newest_seq(const struct signoff *r)
{
	return is_restore(r) ? r->req.known_seq + SIGNOFF_RESTORE_GAP
			     : r->base.seq;
}

static void
set_rows(struct signoff *r)
{
	struct store_head *head = &r->new_head;
	struct store_version *row = &r->row;

	memset(head, 0, sizeof(*head));
	head->seq = newest_seq(r) + 1;
	head->parent = r->base.version;
	head->version = newest_version(r) + 1;
	head->in_force = head->version;
	head->state = STORE_ROLLING;
	head->root = r->root;
	g_strlcpy(head->op, r->req.op, sizeof(head->op));
	memset(row, 0, sizeof(*row));
	row->version = head->version;
	row->parent = head->parent;
	row->wall_ms = r->req.wall_ms;
	row->root = r->root;
	g_strlcpy(row->op, r->req.op, sizeof(row->op));
	g_strlcpy(row->operator_name, r->req.operator_name,
	    sizeof(row->operator_name));
	g_strlcpy(row->note, r->req.note, sizeof(row->note));
}

/* Writes the objects that are needed, then the rows. */
static void
version_write(struct signoff *r, uint64_t now_ms)
{
	GArray *changes, *empty;

	empty = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	changes = section_changes(
	    r->base_list != NULL ? r->base_list : empty, r->list);
	g_array_unref(empty);
	mark_needed(r, changes);
	set_rows(r);
	if (r->changes != NULL)
		g_bytes_unref(r->changes);
	r->changes = encode_changes(r, changes);
	g_array_unref(changes);
	signoff_enter(r, PHASE_PUTS, now_ms);
}

void
version_issue_base_list(struct signoff *r, uint64_t now_ms)
{
	g_clear_pointer(&r->base_list, g_array_unref);
	if (r->base.version > 0) {
		step_get_list(r, &r->base_root, now_ms);
		return;
	}
	r->base_list = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	version_write(r, now_ms);
}

/* Without the newest version's list all sections count as changed. */
void
version_on_base_list(struct signoff *r, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len)
{
	if (st != STATUS_OK && st != STATUS_NOT_FOUND &&
	    st != STATUS_TOO_LARGE) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	if (st == STATUS_OK)
		(void)section_list_decode(
		    data, len, &r->base_root, &r->base_list);
	version_write(r, now_ms);
}
