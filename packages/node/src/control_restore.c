/*
 * Restores the product's own store after it came back from an older copy: the
 * version in force is signed off again, under a number well above the newest
 * known one, so that no number is used twice.  If no node holds that version,
 * the one that is held takes its place.
 */
#define LOG_PART "store"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "config/bundle.h"
#include "control_priv.h"

#define OPERATOR "bramleydrift"
#define RESTORE_TIMEOUT_MS 10000

/* Number of times that a node without the version in force waits for another
 * node to restore the store, before it signs off the version that it holds. */
#define DEFERRALS_MAX 5

static void
on_restored(const struct operation_end *end, void *arg)
{
	struct control *c = arg;

	c->restoring = 0;
	if (end->wrote)
		log_warning("Version %" G_GUINT64_FORMAT
			    " was signed off with the content in force, since "
			    "the store came back from an older copy.",
		    end->outcome->version);
}

static void
fill_request(const struct control *c, struct signoff_request *req)
{
	const struct rec_head *head = spread_head(c->spread);

	req->kind = SIGNOFF_SIGN_OFF;
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

static bool
must_defer(struct control *c, const struct rec_head *head)
{
	uint64_t held = catalog_version(c->catalog);

	if (held == 0)
		return true;
	if (held == head->in_force) {
		c->restore_deferrals = 0;
		return false;
	}
	if (c->restore_deferrals++ < DEFERRALS_MAX)
		return true;
	c->restore_deferrals = 0;
	return false;
}

void
control_restore_store(struct control *c, uint64_t version)
{
	const struct rec_head *head = spread_head(c->spread);
	struct signoff_request req = {0};

	if (c->feed != NULL || c->restoring || must_defer(c, head))
		return;
	log_warning("The store has version %" G_GUINT64_FORMAT
		    ", older than the known %" G_GUINT64_FORMAT
		    ": it came back from an older copy.",
	    version, head->version);
	fill_request(c, &req);
	c->restoring = 1;
	if (control_run_operation(c, &req, bundle_from_catalog(c->catalog),
		on_restored, c) == STATUS_OK)
		return;
	c->restoring = 0;
	log_error("The store can't be restored: %s", status_message());
}
