/*
 * Tells of a version that can't be used: lines, metrics, status and the
 * node's progress reports.
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
shown_version(const struct refused *r)
{
	if (!r->on)
		return 0;
	return r->version != 0 ? (int64_t)r->version : -1;
}

static void
log_refused(const struct refused *r)
{
	if (r->version == 0)
		log_error("what the platform holds can't be used, version "
			  "%" G_GUINT64_FORMAT " stays in force: %s",
		    r->in_force, r->reason);
	else
		log_error("version %" G_GUINT64_FORMAT
			  " can't be used, version %" G_GUINT64_FORMAT
			  " stays in force: %s left_out=%" G_GUINT64_FORMAT,
		    r->version, r->in_force, r->reason, r->n_silent);
}

/* What the node's progress reports tell. */
static void
report(struct control *c)
{
	const struct refused *r = &c->refused;
	struct spread_refusal told = {0};

	if (r->on) {
		told.nodes = 1;
		told.version = r->version;
		told.since_wall_ms = r->since_wall_ms;
		refused_text(told.reason, sizeof(told.reason), r->reason);
	}
	spread_refuse(c->spread, control_now(c), &told);
}

static void
tell(struct control *c, enum refused_news news)
{
	struct refused *r = &c->refused;

	metric_set(&version_gauge, shown_version(r));
	metric_set(&since_gauge, r->on ? (int64_t)r->since_wall_ms : 0);
	metric_set(&refused_count, (int64_t)r->n_versions);
	report(c);
	if (news == REFUSED_ENDED)
		log_info("the refusal of versions has ended, the last was "
			 "%" G_GUINT64_FORMAT " since %" G_GUINT64_FORMAT ".",
		    r->version, r->since_wall_ms);
	else if (news != REFUSED_SAME)
		log_refused(r);
}

void
control_refused_note(struct control *c, uint64_t version, const char *reason)
{
	struct refused_time at = {control_now(c), clock_wall_ms()};

	refused_known(&c->refused, c->known);
	tell(c,
	    refused_note(
		&c->refused, at, version, catalog_version(c->catalog), reason));
}

void
control_refused_given(struct control *c, uint64_t version, uint32_t n_warnings)
{
	metric_set(&warnings_gauge, n_warnings);
	tell(c,
	    refused_given(&c->refused, version, catalog_version(c->catalog)));
}

void
control_refused_in_force(struct control *c, uint64_t version)
{
	tell(c, refused_in_force(&c->refused, version));
}

static void
on_told(enum status st, void *arg)
{
	struct control *c = arg;

	if (st != STATUS_OK)
		log_warning("operators can't be told at the platform (%s)",
		    status_name(st));
	refused_row_done(&c->refused_row, st == STATUS_OK, control_now(c));
	control_pump(c);
}

static int
can_tell(const struct control *c)
{
	return c->feed != NULL && c->feed->ops->report != NULL;
}

void
control_refused_tick(struct control *c)
{
	const struct refused *r = &c->refused;
	const struct feed_refusal told = {
	    r->version, r->in_force, r->since_wall_ms, r->reason};
	enum refused_row_act act;

	if (!can_tell(c))
		return;
	act = refused_row_next(&c->refused_row, r,
	    spread_first_reader(c->spread, control_now(c)) != 0,
	    control_now(c));
	if (act != REFUSED_ROW_NONE)
		c->feed->ops->report(c->feed, c->settings->data_centre,
		    act == REFUSED_ROW_WRITE ? &told : NULL, on_told, c);
}

uint64_t
control_refused_next_ms(const struct control *c)
{
	if (!can_tell(c))
		return DEADLINE_NEVER;
	return refused_row_due_ms(&c->refused_row, &c->refused,
	    spread_first_reader(c->spread, control_now(c)) != 0);
}

json_t *
control_refused_json(const struct control *c)
{
	const struct refused *r = &c->refused;

	if (!r->on)
		return json_null();
	return json_pack("{s:I,s:I,s:s}", "version", (json_int_t)r->version,
	    "since_wall_ms", (json_int_t)r->since_wall_ms, "reason", r->reason);
}
