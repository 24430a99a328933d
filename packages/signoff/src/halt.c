/*
 * Halt: withdraws the newest version, and brings the one before it back into
 * force for nodes that have not applied it.
 */
#include <string.h>

#include "signoff_defs.h"

/* Failed reads of the winner's note after which the outcome is reported without
 * it. */
#define NOTE_FAILURES_MAX 4

/* Encodes a halt's note, which names the operator, since the head row does
 * not. */
static GBytes *
encode_note(const struct signoff_request *req)
{
	struct msg_halt_note m;
	GByteArray *out;

	memset(&m, 0, sizeof(m));
	m.version = req->version;
	m.wall_ms = req->wall_ms;
	g_strlcpy(m.op, req->op, sizeof(m.op));
	g_strlcpy(m.operator_name, req->operator_name, sizeof(m.operator_name));
	g_strlcpy(m.note, req->note, sizeof(m.note));
	out = g_byte_array_new();
	msg_halt_note_encode(&m, out);
	return g_byte_array_free_to_bytes(out);
}

static void
halt_begin(struct signoff *r, uint64_t now_ms)
{
	char key[STORE_KEY_BYTES];

	g_snprintf(key, sizeof(key), "halt/%s", r->req.op);
	puts_add(r->puts, key, NULL, encode_note(&r->req));
	signoff_enter(r, PHASE_HEAD, now_ms);
}

/* The row after the version shows which operation halted that version, or was
 * first. */
static uint64_t
halt_settle_limit(const struct signoff *r)
{
	return r->req.version + 1;
}

static struct range
halt_first_search(const struct signoff *r)
{
	struct range range = {r->req.version + 1, r->req.version + 1};

	range.high = MIN(range.high, r->head.version);
	return range;
}

static void
enter_winner_note(struct signoff *r, const char *op, uint64_t now_ms)
{
	r->outcome.winner_version = r->req.version;
	r->outcome.winner_halted = true;
	g_strlcpy(r->outcome.winner_op, op, sizeof(r->outcome.winner_op));
	signoff_enter(r, PHASE_WINNER_NOTE, now_ms);
}

static void
halt_proceed(struct signoff *r, uint64_t now_ms)
{
	if (r->head.version < r->req.version) {
		outcome_not_found(r,
		    "There is no version %" G_GUINT64_FORMAT
		    "; the newest version is %" G_GUINT64_FORMAT
		    ". See the history.",
		    r->req.version, r->head.version);
	} else if (r->head.version > r->req.version) {
		if (r->lowest.replaced.halted)
			enter_winner_note(r, r->lowest.replaced.op, now_ms);
		else
			outcome_conflict(r);
	} else if (r->head.state == STORE_HALTED) {
		enter_winner_note(r, r->head.op, now_ms);
	} else {
		r->base = r->head;
		signoff_enter(r, PHASE_TARGET_ROW, now_ms);
	}
}

const struct signoff_ops halt_ops = {
    .begin = halt_begin,
    .first_search = halt_first_search,
    .settle_limit = halt_settle_limit,
    .proceed = halt_proceed,
    .on_lost_race = halt_proceed,
};

void
halt_issue_target_row(struct signoff *r, uint64_t now_ms)
{
	step_read_versions(r, r->req.version, r->req.version, now_ms);
}

static void
set_head(struct signoff *r, uint64_t in_force, const struct digest *root)
{
	r->new_head = r->base;
	r->new_head.seq = r->base.seq + 1;
	r->new_head.in_force = in_force;
	r->new_head.state = STORE_HALTED;
	memset(&r->new_head.root, 0, sizeof(r->new_head.root));
	if (root != NULL)
		r->new_head.root = *root;
	g_strlcpy(r->new_head.op, r->req.op, sizeof(r->new_head.op));
}

void
halt_on_target_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto)
{
	struct rec_replaced_head replaced;

	(void)upto;
	if (st != STATUS_OK || n != 1 || rows[0].version != r->req.version ||
	    !search_decode(&rows[0], &replaced)) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	set_head(r, replaced.in_force, NULL);
	signoff_enter(
	    r, replaced.in_force > 0 ? PHASE_RESTORED_ROW : PHASE_PUTS, now_ms);
}

void
halt_issue_restored_row(struct signoff *r, uint64_t now_ms)
{
	step_read_versions(
	    r, r->new_head.in_force, r->new_head.in_force, now_ms);
}

void
halt_on_restored_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto)
{
	(void)upto;
	if (st != STATUS_OK || n != 1 ||
	    rows[0].version != r->new_head.in_force) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	set_head(r, rows[0].version, &rows[0].root);
	signoff_enter(r, PHASE_PUTS, now_ms);
}

void
halt_issue_winner_note(struct signoff *r, uint64_t now_ms)
{
	step_get_note(r, r->outcome.winner_op, now_ms);
}

/* The name of the first halt's operator is worth a few attempts, not a long
 * wait. */
void
halt_on_winner_note(struct signoff *r, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len)
{
	struct msg_halt_note m;

	if (st != STATUS_OK && st != STATUS_NOT_FOUND &&
	    r->n_failures < NOTE_FAILURES_MAX) {
		signoff_retry_later(r, now_ms);
		return;
	}
	if (st == STATUS_OK && msg_halt_note_decode(data, len, &m) == STATUS_OK)
		g_strlcpy(r->outcome.winner_operator, m.operator_name,
		    sizeof(r->outcome.winner_operator));
	outcome_already_halted(r);
}
