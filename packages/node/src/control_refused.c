/*
 * Reports a version that can't be used: by log lines, metrics, the status,
 * progress reports to peers and a row at the platform.
 */
#define LOG_PART "feed"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "control_priv.h"

static struct metric version_gauge = {"bramley_version_refused",
    "Newest version seen and refused while it is; 0 for none, -1 for one "
    "whose number can't be read.",
    METRIC_GAUGE, NULL, 0, {0}};
static struct metric since_gauge = {"bramley_version_refused_since_wall_ms",
    "Wall-clock time since which versions are refused here, 0 for none.",
    METRIC_GAUGE, NULL, 0, {0}};
static struct metric refused_count = {"bramley_versions_refused_total",
    "Versions that could not be used.", METRIC_COUNTER, NULL, 0, {0}};
static struct metric warnings_gauge = {"bramley_version_warnings",
    "Warnings about the version that the platform gave last.", METRIC_GAUGE,
    NULL, 0, {0}};

void
control_refused_register(void)
{
	metric_register(&version_gauge);
	metric_register(&since_gauge);
	metric_register(&refused_count);
	metric_register(&warnings_gauge);
}

static int64_t
metric_version(const struct refused *r)
{
	if (!r->active)
		return 0;
	return r->version != 0 ? (int64_t)r->version : -1;
}

static void
log_refused(const struct refused *r)
{
	if (r->version == 0)
		log_error(
		    "the configuration at the platform can't be used, version "
		    "%" G_GUINT64_FORMAT " stays in force: %s",
		    r->in_force, r->reason);
	else
		log_error("version %" G_GUINT64_FORMAT
			  " can't be used, version %" G_GUINT64_FORMAT
			  " stays in force: %s left_out=%" G_GUINT64_FORMAT,
		    r->version, r->in_force, r->reason, r->n_unlogged);
}

/* Sets the refusal that the node's progress reports contain. */
static void
update_spread_refusal(struct control *c)
{
	const struct refused *r = &c->refused;
	struct spread_refusal refusal = {0};

	if (r->active) {
		refusal.nodes = 1;
		refusal.version = r->version;
		refusal.since_wall_ms = r->since_wall_ms;
		refused_copy_text(
		    refusal.reason, sizeof(refusal.reason), r->reason);
	}
	spread_set_refusal(c->spread, control_now(c), &refusal);
}

static void
publish_change(struct control *c, enum refused_change change)
{
	struct refused *r = &c->refused;

	metric_set(&version_gauge, metric_version(r));
	metric_set(&since_gauge, r->active ? (int64_t)r->since_wall_ms : 0);
	metric_set(&refused_count, (int64_t)r->n_versions);
	update_spread_refusal(c);
	if (change == REFUSED_ENDED)
		log_info("versions are no longer refused; the last one was "
			 "%" G_GUINT64_FORMAT
			 ", the first refusal was at wall-clock time "
			 "%" G_GUINT64_FORMAT " ms.",
		    r->version, r->since_wall_ms);
	else if (change != REFUSED_UNCHANGED)
		log_refused(r);
}

void
control_refused_record(struct control *c, uint64_t version, const char *reason)
{
	struct refused_time at = {control_now(c), clock_wall_ms()};

	refused_version_known(&c->refused, c->known_version);
	publish_change(c,
	    refused_record(
		&c->refused, at, version, catalog_version(c->catalog), reason));
}

void
control_refused_version_readable(
    struct control *c, uint64_t version, uint32_t n_warnings)
{
	metric_set(&warnings_gauge, n_warnings);
	publish_change(c,
	    refused_version_readable(
		&c->refused, version, catalog_version(c->catalog)));
}

void
control_refused_version_in_force(struct control *c, uint64_t version)
{
	publish_change(c, refused_version_in_force(&c->refused, version));
}

static void
on_row_written(enum status st, void *arg)
{
	struct control *c = arg;

	if (st != STATUS_OK)
		log_warning("the refusal can't be written to the platform (%s)",
		    status_name(st));
	refused_row_done(&c->refused_row, st == STATUS_OK, control_now(c));
	control_pump(c);
}

static int
can_write_row(const struct control *c)
{
	return c->feed != NULL && c->feed->ops->report != NULL;
}

void
control_refused_tick(struct control *c)
{
	const struct refused *r = &c->refused;
	const struct feed_refusal refusal = {
	    r->version, r->in_force, r->since_wall_ms, r->reason};
	enum refused_row_action action;

	if (!can_write_row(c))
		return;
	action = refused_row_next(&c->refused_row, r,
	    spread_is_first_reader(c->spread, control_now(c)) != 0,
	    control_now(c));
	if (action != REFUSED_ROW_NONE)
		c->feed->ops->report(c->feed, c->settings->data_centre,
		    action == REFUSED_ROW_WRITE ? &refusal : NULL,
		    on_row_written, c);
}

uint64_t
control_refused_next_ms(const struct control *c)
{
	if (!can_write_row(c))
		return DEADLINE_NEVER;
	return refused_row_due_ms(&c->refused_row, &c->refused,
	    spread_is_first_reader(c->spread, control_now(c)) != 0);
}

json_t *
control_refused_json(const struct control *c)
{
	const struct refused *r = &c->refused;

	if (!r->active)
		return json_null();
	return json_pack("{s:I,s:I,s:s}", "version", (json_int_t)r->version,
	    "since_wall_ms", (json_int_t)r->since_wall_ms, "reason", r->reason);
}
