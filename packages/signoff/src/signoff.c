/*
 * State machine of an operation: phases, awaited answers, retries, the
 * deadline.
 */
#include <string.h>

#include "base/clock.h"
#include "signoff_defs.h"

/**
 * struct phase - request of a phase, and the handlers of its answer
 * @issue: send the request
 * @on_versions: handle version rows
 * @on_object: handle an object
 */
struct phase {
	void (*issue)(struct signoff *r, uint64_t now_ms);
	void (*on_versions)(struct signoff *r, uint64_t now_ms, enum status st,
	    const struct store_version *rows, uint32_t n, uint64_t upto);
	void (*on_object)(struct signoff *r, uint64_t now_ms, enum status st,
	    const uint8_t *data, size_t len);
};

static void issue_transact(struct signoff *r, uint64_t now_ms);

static const struct phase phases[PHASE_COUNT] = {
    [PHASE_HEAD] = {step_read_head, NULL, NULL},
    [PHASE_SEARCH] = {search_issue, search_on_versions, NULL},
    [PHASE_SOURCE_ROW] = {version_issue_source_row, version_on_source_row,
	NULL},
    [PHASE_SOURCE_LIST] = {version_issue_source_list, NULL,
	version_on_source_list},
    [PHASE_BASE_ROW] = {version_issue_base_row, version_on_base_row, NULL},
    [PHASE_BASE_LIST] = {version_issue_base_list, NULL, version_on_base_list},
    [PHASE_PUTS] = {puts_issue, NULL, NULL},
    [PHASE_TARGET_ROW] = {halt_issue_target_row, halt_on_target_row, NULL},
    [PHASE_RESTORED_ROW] = {halt_issue_restored_row, halt_on_restored_row,
	NULL},
    [PHASE_TRANSACT] = {issue_transact, NULL, NULL},
    [PHASE_WINNER_NOTE] = {halt_issue_winner_note, NULL, halt_on_winner_note},
    [PHASE_END] = {NULL, NULL, NULL},
};

static const struct signoff_ops *const kind_ops[] = {
    [SIGNOFF_SIGN_OFF] = &version_ops,
    [SIGNOFF_SUPERSEDE] = &version_ops,
    [SIGNOFF_HALT] = &halt_ops,
    [SIGNOFF_FIND] = &find_ops,
};

static bool
is_valid_op(const char *op)
{
	size_t i, len = strnlen(op, STORE_OP_BYTES);

	if (len == 0 || len == STORE_OP_BYTES)
		return false;
	for (i = 0; i < len; i++) {
		if (!g_ascii_isalnum(op[i]) && strchr("-_.", op[i]) == NULL)
			return false;
	}
	return true;
}

static enum status
check_request(const struct signoff_request *req)
{
	if (!is_valid_op(req->op))
		return status_set(STATUS_INVALID,
		    "An operation id consists of 1 to 63 letters, digits, '-', "
		    "'_' and '.'; give a valid one.");
	if (req->kind != SIGNOFF_FIND &&
	    (req->operator_name[0] == '\0' ||
		!g_utf8_validate(req->operator_name, -1, NULL)))
		return status_set(STATUS_INVALID,
		    "The operation has no valid operator name; give one.");
	if (!g_utf8_validate(req->note, -1, NULL))
		return status_set(
		    STATUS_INVALID, "The note is not UTF-8; correct it.");
	if (req->kind == SIGNOFF_SIGN_OFF &&
	    (req->bundle == NULL || req->bundle->n_problems > 0))
		return status_set(STATUS_INVALID,
		    "A sign-off needs a bundle without problems; validate "
		    "it.");
	if ((req->kind == SIGNOFF_HALT || req->kind == SIGNOFF_SUPERSEDE) &&
	    req->version == 0)
		return status_set(STATUS_INVALID,
		    "Version numbers start at 1; give an existing one.");
	return STATUS_OK;
}

enum status
signoff_new(const struct signoff_request *req, struct signoff **r)
{
	enum status st;

	*r = NULL;
	st = check_request(req);
	if (st != STATUS_OK)
		return st;
	*r = g_new0(struct signoff, 1);
	(*r)->ops = kind_ops[req->kind];
	(*r)->req = *req;
	(*r)->race_retries_left = req->race_retries;
	(*r)->retry_at_ms = DEADLINE_NEVER;
	(*r)->rand = g_rand_new_with_seed(req->seed);
	(*r)->puts = puts_new();
	g_queue_init(&(*r)->actions);
	return STATUS_OK;
}

void
signoff_free(struct signoff *r)
{
	if (r == NULL)
		return;
	step_clear(r);
	if (r->list != NULL)
		g_array_unref(r->list);
	if (r->base_list != NULL)
		g_array_unref(r->base_list);
	if (r->changes != NULL)
		g_bytes_unref(r->changes);
	g_ptr_array_unref(r->puts);
	g_rand_free(r->rand);
	g_free(r);
}

void
signoff_enter(struct signoff *r, enum signoff_phase phase, uint64_t now_ms)
{
	r->phase = phase;
	r->token = 0;
	r->retry_at_ms = DEADLINE_NEVER;
	phases[phase].issue(r, now_ms);
}

void
signoff_retry_later(struct signoff *r, uint64_t now_ms)
{
	r->token = 0;
	r->retry_at_ms = now_ms + step_backoff_ms(r);
}

void
signoff_start(struct signoff *r, uint64_t now_ms)
{
	if (now_ms >= r->req.deadline_ms)
		outcome_timed_out(r);
	else
		r->ops->begin(r, now_ms);
}

bool
signoff_action(struct signoff *r, struct signoff_action *action)
{
	struct signoff_action *a = g_queue_pop_head(&r->actions);

	if (a == NULL)
		return false;
	*action = *a;
	g_free(a);
	if (action->has_version && action->content != NULL) {
		gsize len;

		action->version.changes =
		    g_bytes_get_data(action->content, &len);
		action->version.changes_bytes = (uint32_t)len;
	}
	return true;
}

void
signoff_action_clear(struct signoff_action *action)
{
	if (action->content != NULL)
		g_bytes_unref(action->content);
	memset(action, 0, sizeof(*action));
}

/* Whether an answer is the awaited one; clears the awaited token. */
static bool
accept_token(struct signoff *r, uint32_t token)
{
	if (token == 0 || token != r->token)
		return false;
	r->token = 0;
	return true;
}

/* Lowest seq of a head row that an operation may build on. */
static uint64_t
lowest_seq(const struct signoff *r)
{
	return r->req.restores || r->req.may_restore ? 0 : r->req.known_seq;
}

/* Whether a head row can follow the one that was read before. */
static bool
is_valid_successor(const struct signoff *r, const struct store_head *head)
{
	return head->seq >= lowest_seq(r) && head->seq >= r->head.seq &&
	    head->seq > 0 && head->version >= r->head.version &&
	    head->in_force <= head->version;
}

/* A row with a number that is known to be used is not written: the head row
 * that it follows is read again. */
static void
issue_transact(struct signoff *r, uint64_t now_ms)
{
	if (r->new_head.seq <= r->req.known_seq)
		signoff_enter(r, PHASE_HEAD, now_ms);
	else
		step_transact(r, now_ms);
}

void
signoff_known(struct signoff *r, uint64_t seq, uint64_t version)
{
	if (seq <= r->req.known_seq)
		return;
	r->req.known_seq = seq;
	r->req.known_version = MAX(version, r->req.known_version);
}

void
signoff_on_head(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_head *head)
{
	if (!accept_token(r, token))
		return;
	if (st == STATUS_OK && is_valid_successor(r, head))
		r->head = *head;
	else if (st != STATUS_NOT_FOUND || r->head.seq > 0 ||
	    lowest_seq(r) > 0) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	search_on_head(r, now_ms);
}

void
signoff_on_versions(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_version *rows, uint32_t n, uint64_t upto)
{
	if (accept_token(r, token))
		phases[r->phase].on_versions(r, now_ms, st, rows, n, upto);
}

void
signoff_on_object(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const uint8_t *data, size_t len)
{
	if (accept_token(r, token))
		phases[r->phase].on_object(r, now_ms, st, data, len);
}

void
signoff_on_put(
    struct signoff *r, uint64_t now_ms, uint32_t token, enum status st)
{
	if (r->phase == PHASE_PUTS)
		puts_on_put(r, now_ms, token, st);
}

/* The platform rejects the write, so the operation can't be done at all. */
static void
write_rejected(struct signoff *r, enum status st)
{
	outcome_invalid(r,
	    "The platform rejected the write (%s). Make the change smaller, or "
	    "see the platform's limits in docs/PLATFORM.md.",
	    status_name(st));
}

void
signoff_on_transact(
    struct signoff *r, uint64_t now_ms, uint32_t token, enum status st)
{
	if (!accept_token(r, token))
		return;
	switch (st) {
	case STATUS_OK:
		r->head = r->new_head;
		outcome_done(r, r->req.kind, r->new_head.version, NULL);
		break;
	case STATUS_INVALID:
	case STATUS_TOO_LARGE:
		if (r->maybe_written)
			signoff_enter(r, PHASE_HEAD, now_ms);
		else
			write_rejected(r, st);
		break;
	case STATUS_CONFLICT:
		signoff_enter(r, PHASE_HEAD, now_ms);
		break;
	case STATUS_UNAVAILABLE:
	case STATUS_OVERLOADED:
		if (r->maybe_written)
			r->phase = PHASE_HEAD;
		signoff_retry_later(r, now_ms);
		break;
	default:
		/* Unknown: read back before any further write. */
		r->maybe_written = true;
		signoff_enter(r, PHASE_HEAD, now_ms);
		break;
	}
}

/* Handles an awaited answer that did not arrive in time. */
static void
answer_timed_out(struct signoff *r, uint64_t now_ms)
{
	if (r->phase == PHASE_TRANSACT) {
		signoff_on_transact(r, now_ms, r->token, STATUS_UNKNOWN);
		return;
	}
	puts_cancel_tokens(r);
	signoff_retry_later(r, now_ms);
}

static bool
is_awaiting(const struct signoff *r)
{
	uint32_t i;

	if (r->token != 0)
		return true;
	for (i = 0; r->phase == PHASE_PUTS && i < r->puts->len; i++) {
		if (((struct put *)g_ptr_array_index(r->puts, i))->token != 0)
			return true;
	}
	return false;
}

void
signoff_tick(struct signoff *r, uint64_t now_ms)
{
	if (r->phase == PHASE_END)
		return;
	if (now_ms >= r->req.deadline_ms) {
		if (r->phase == PHASE_TRANSACT && r->token != 0)
			r->maybe_written = true;
		outcome_timed_out(r);
		return;
	}
	if (is_awaiting(r) && now_ms >= r->answer_deadline_ms)
		answer_timed_out(r, now_ms);
	else if (now_ms >= r->retry_at_ms)
		signoff_enter(r, r->phase, now_ms);
}

uint64_t
signoff_next_ms(const struct signoff *r)
{
	uint64_t next = r->req.deadline_ms;

	if (r->phase == PHASE_END)
		return DEADLINE_NEVER;
	if (is_awaiting(r))
		next = MIN(next, r->answer_deadline_ms);
	return MIN(next, r->retry_at_ms);
}

const struct signoff_outcome *
signoff_outcome(const struct signoff *r)
{
	return r->phase == PHASE_END ? &r->outcome : NULL;
}
