/*
 * Epoch of the platform's store: rises when the store comes back from an older
 * copy.  Numbers of earlier epochs are not used any more, and what this node
 * has written to the store is written again.
 */
#define LOG_PART "store"

#include "base/log.h"
#include "base/metrics.h"
#include "control_priv.h"

static struct metric epoch_gauge = {"bramley_store_epoch",
    "Highest known epoch of the platform's store, which rises when the store "
    "comes back from an older copy; 0 for none.",
    METRIC_GAUGE, NULL, 0, {0}};

void
control_store_epoch_register(void)
{
	metric_register(&epoch_gauge);
}

/* Marks what was written as missing, then starts the calls that are due. */
static void
write_again(struct control *c)
{
	uint64_t now_ms = control_now(c);

	finder_restored(&c->finder, now_ms);
	quarantine_rows_restored(&c->quarantine_rows);
	refused_row_restored(&c->refused_row, now_ms);
	control_rollout_restored(c);
	control_find_tick(c);
	control_keep_tick(c);
	control_refused_tick(c);
	control_rollout_tick(c);
}

static void
set_epoch(struct control *c, uint64_t epoch)
{
	c->store_epoch = epoch;
	metric_set(&epoch_gauge, (int64_t)epoch);
	membership_set_store_epoch(c->membership, epoch);
}

void
control_set_store_epoch(struct control *c, uint64_t epoch)
{
	if (!c->store_epoch_known) {
		c->store_epoch_known = true;
		set_epoch(c, epoch);
		log_info("The platform's store is in epoch %" G_GUINT64_FORMAT
			 ".",
		    epoch);
		return;
	}
	if (epoch <= c->store_epoch)
		return;
	log_warning("The platform's store came back from an older copy, epoch "
		    "%" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT
		    "; rows of this node are written again.",
	    epoch, c->store_epoch);
	set_epoch(c, epoch);
	if (c->feed != NULL)
		feed_set_epoch(c->feed, epoch);
	write_again(c);
	control_pump(c);
}

void
control_store_epoch_update(struct control *c)
{
	uint64_t epoch = membership_store_epoch(c->membership);

	if (epoch != 0)
		control_set_store_epoch(c, epoch);
}
