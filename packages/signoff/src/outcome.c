/*
 * Outcomes of operations, and their messages for operators.
 */
#include <stdarg.h>
#include <string.h>

#include "signoff_defs.h"

static const char *const result_names[] = {
    [SIGNOFF_DONE] = "done",
    [SIGNOFF_ALREADY_HALTED] = "already",
    [SIGNOFF_CONFLICT] = "conflict",
    [SIGNOFF_NOT_FOUND] = "not_found",
    [SIGNOFF_INVALID] = "invalid",
    [SIGNOFF_UNAVAILABLE] = "unavailable",
    [SIGNOFF_UNKNOWN] = "unknown",
};

const char *
signoff_result_name(enum signoff_result result)
{
	if ((unsigned int)result > SIGNOFF_UNKNOWN)
		return "?";
	return result_names[result];
}

static void
set_message(struct signoff *r, const char *fmt, va_list ap)
{
	(void)g_vsnprintf(
	    r->outcome.message, sizeof(r->outcome.message), fmt, ap);
}

static void __attribute__((format(printf, 3, 4))) end_operation(
    struct signoff *r, enum signoff_result result, const char *fmt, ...)
{
	struct signoff_outcome *o = &r->outcome;
	va_list ap;

	o->result = result;
	o->in_force = r->head.in_force;
	o->newest_version = r->head.version;
	va_start(ap, fmt);
	set_message(r, fmt, ap);
	va_end(ap);
	r->phase = PHASE_END;
	r->token = 0;
	step_finish(r);
}

/* Whether the operation found under this id is the one requested now. */
static bool
is_same_request(const struct signoff *r, enum signoff_kind kind,
    uint64_t version, const struct digest *root)
{
	if (r->req.kind == SIGNOFF_FIND)
		return true;
	if (r->req.kind == SIGNOFF_HALT)
		return kind == SIGNOFF_HALT && version == r->req.version;
	return kind != SIGNOFF_HALT &&
	    (root == NULL || hash_digest_equal(root, &r->root));
}

void
outcome_done(struct signoff *r, enum signoff_kind kind, uint64_t version,
    const struct digest *root)
{
	struct signoff_outcome *o = &r->outcome;

	if (!is_same_request(r, kind, version, root)) {
		outcome_invalid(r,
		    "Operation id %s was used for another operation, which "
		    "%s version %" G_GUINT64_FORMAT "; use a new id.",
		    r->req.op, kind == SIGNOFF_HALT ? "halted" : "created",
		    version);
		return;
	}
	o->kind = kind;
	o->version = version;
	o->repeated = !r->write_sent || version != r->new_head.version;
	end_operation(r, SIGNOFF_DONE, "Version %" G_GUINT64_FORMAT " is %s%s.",
	    version, kind == SIGNOFF_HALT ? "halted" : "signed off",
	    o->repeated ? "; another start of this operation wrote it" : "");
}

void
outcome_already_halted(struct signoff *r)
{
	const struct signoff_outcome *o = &r->outcome;

	r->outcome.kind = r->req.kind;
	end_operation(r, SIGNOFF_ALREADY_HALTED,
	    "Version %" G_GUINT64_FORMAT
	    " was already halted by operation %s%s%s; nothing was written.",
	    o->winner_version, o->winner_op,
	    o->winner_operator[0] != '\0' ? " of " : "", o->winner_operator);
}

/* A restore of the store left out the number after the version that the
 * operation built on. */
static void
conflict_with_newest(struct signoff *r)
{
	struct signoff_outcome *o = &r->outcome;

	o->winner_version = r->head.version;
	o->winner_halted = r->head.state == STORE_HALTED;
	g_strlcpy(o->winner_op, r->head.op, sizeof(o->winner_op));
	end_operation(r, SIGNOFF_CONFLICT,
	    "Operation %s wrote version %" G_GUINT64_FORMAT
	    " first; nothing was written. Review it, then decide again.",
	    o->winner_op, o->winner_version);
}

/* The row after the version that the operation built on names the operation
 * that was first. */
void
outcome_conflict(struct signoff *r)
{
	struct signoff_outcome *o = &r->outcome;

	o->kind = r->req.kind;
	if (r->lowest.version == 0) {
		conflict_with_newest(r);
		return;
	}
	o->winner_version = r->lowest.version;
	g_strlcpy(o->winner_op, r->lowest.op, sizeof(o->winner_op));
	g_strlcpy(o->winner_operator, r->lowest.operator_name,
	    sizeof(o->winner_operator));
	end_operation(r, SIGNOFF_CONFLICT,
	    "%s created version %" G_GUINT64_FORMAT
	    " first (operation %s); nothing was written. The newest version is "
	    "%" G_GUINT64_FORMAT "; review it, then decide again.",
	    o->winner_operator, o->winner_version, o->winner_op,
	    r->head.version);
}

/* Ends an operation that wrote nothing, with the caller's message. */
static void
end_without_effect(
    struct signoff *r, enum signoff_result result, const char *fmt, va_list ap)
{
	r->outcome.kind = r->req.kind;
	end_operation(r, result, "%s", "");
	set_message(r, fmt, ap);
}

void
outcome_not_found(struct signoff *r, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	end_without_effect(r, SIGNOFF_NOT_FOUND, fmt, ap);
	va_end(ap);
}

void
outcome_invalid(struct signoff *r, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	end_without_effect(r, SIGNOFF_INVALID, fmt, ap);
	va_end(ap);
}

void
outcome_timed_out(struct signoff *r)
{
	struct signoff_outcome *o = &r->outcome;

	o->kind = r->req.kind;
	o->retry_after_ms = (uint32_t)step_backoff_ms(r);
	if (!r->maybe_written) {
		end_operation(r, SIGNOFF_UNAVAILABLE,
		    "The platform did not answer in time; this start wrote "
		    "nothing%s. Try again later.",
		    r->req.fresh ? ""
				 : ", but the outcome of an earlier start "
				   "with this id could not be read");
		return;
	}
	o->after_seq = r->base.seq;
	end_operation(r, SIGNOFF_UNKNOWN,
	    "The write was sent, but whether it took effect could not be read "
	    "from the platform. Look up operation %s, or start it again with "
	    "the same id: it takes effect at most once.",
	    r->req.op);
}

void
outcome_not_settled(struct signoff *r)
{
	struct signoff_outcome *o = &r->outcome;

	o->kind = r->req.kind;
	o->after_seq = r->req.after_seq;
	o->retry_after_ms = SIGNOFF_BACKOFF_MAX_MS;
	end_operation(r, SIGNOFF_UNKNOWN,
	    "Operation %s has not taken effect, but its write may still "
	    "arrive. Look it up again, or start it again with the same id: it "
	    "takes effect at most once.",
	    r->req.op);
}
