/*
 * Restores the product's own store after it came back from an older copy: the
 * version in force is signed off again, under a number well above the newest
 * known one, so that no number is used twice.  If no node holds that version,
 * one that is held or that the store has takes its place; if there is none, an
 * operator's next sign-off does.
 */
#define LOG_PART "store"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "config/bundle.h"
#include "control_priv.h"

#define OPERATOR "bramleydrift"
#define RESTORE_TIMEOUT_MS 10000

static void
on_restored(const struct operation_end *end, void *arg)
{
	struct control *c = arg;

	c->restoring = 0;
	if (end->wrote)
		log_warning("Version %" G_GUINT64_FORMAT
			    " was signed off, since the store came back from "
			    "an older copy.",
		    end->outcome->version);
}

static void
fill_request(const struct control *c, struct signoff_request *req)
{
	const struct rec_head *head = spread_head(c->spread);

	req->restores = true;
	req->fresh = true;
	req->known_seq = head->seq;
	req->known_version = head->version;
	req->wall_ms = clock_wall_ms();
	req->deadline_ms = control_now(c) + RESTORE_TIMEOUT_MS;
	req->seed = (uint32_t)req->wall_ms;
	(void)g_snprintf(req->op, sizeof(req->op),
	    "restore-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, head->seq,
	    req->wall_ms);
	(void)g_strlcpy(
	    req->operator_name, OPERATOR, sizeof(req->operator_name));
	(void)g_strlcpy(req->note, "the store came back from an older copy",
	    sizeof(req->note));
}

static enum restore_choice
choose_content(struct control *c, uint64_t in_force)
{
	const struct rec_head *head = spread_head(c->spread);
	const struct restore_finding f = {.known_seq = head->seq,
	    .known = head->in_force,
	    .held = catalog_version(c->catalog),
	    .stored = in_force};

	return restore_policy_choose(&c->restore_policy, &f);
}

static void
log_restore(const struct control *c, enum restore_choice choice,
    uint64_t in_force, uint64_t version)
{
	log_warning("The store has version %" G_GUINT64_FORMAT
		    ", older than the known %" G_GUINT64_FORMAT
		    ": it came back from an older copy. The content of version "
		    "%" G_GUINT64_FORMAT " %s is signed off.",
	    version, spread_head(c->spread)->version,
	    choice == RESTORE_HELD ? catalog_version(c->catalog) : in_force,
	    choice == RESTORE_HELD ? "that is held here"
				   : "in the store, as no node restored it,");
}

void
control_restore_store(struct control *c, uint64_t in_force, uint64_t version)
{
	struct signoff_request req = {.version = in_force};
	enum restore_choice choice;
	struct bundle *bundle = NULL;

	if (c->feed != NULL || c->restoring)
		return;
	choice = choose_content(c, in_force);
	if (choice == RESTORE_WAIT)
		return;
	log_restore(c, choice, in_force, version);
	fill_request(c, &req);
	req.kind =
	    choice == RESTORE_HELD ? SIGNOFF_SIGN_OFF : SIGNOFF_SUPERSEDE;
	if (choice == RESTORE_HELD)
		bundle = bundle_from_catalog(c->catalog);
	c->restoring = 1;
	if (control_run_operation(c, &req, bundle, on_restored, c) == STATUS_OK)
		return;
	c->restoring = 0;
	log_error("The store can't be restored: %s", status_message());
}

/* The operator may not have seen the version that was lost. */
bool
control_may_restore(const struct control *c, const struct signoff_request *req)
{
	uint64_t known = spread_head(c->spread)->version;

	return req->kind == SIGNOFF_SIGN_OFF &&
	    catalog_version(c->catalog) == 0 &&
	    (!req->has_parent || req->parent == 0 || req->parent == known);
}
