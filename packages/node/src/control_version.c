/*
 * The version in force on this node, and the durations of the steps until then.
 */
#define LOG_PART "control"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "control_priv.h"
#include "proto/settings.h"

#define US_PER_MS UINT64_C(1000)

/* Warning threshold as a percentage of the time limit, low enough to warn while
 * versions still come in force in time. */
#define WARN_PERCENT 75

static struct metric version_gauge = {"bramley_version",
    "Configuration version in force on this node.", METRIC_GAUGE, NULL, 0, {0}};
static struct metric applied_gauge = {"bramley_version_applied_wall_ms",
    "Wall-clock time at which the version came in force here.", METRIC_GAUGE,
    NULL, 0, {0}};
static struct metric age_gauge = {"bramley_version_age_ms",
    "Time from the first read of the version in force by any node until it "
    "came in force here.",
    METRIC_GAUGE, NULL, 0, {0}};
static struct metric share_gauge = {"bramley_version_time_percent",
    "That time as a share of the time within which a version is to be in "
    "force.",
    METRIC_GAUGE, NULL, 0, {0}};
static struct metric age_seconds = {"bramley_version_age_seconds",
    "Time from the first read of a version by any node until it came in force "
    "here.",
    METRIC_HISTOGRAM, NULL, 0, {0}};
static struct metric wait_seconds = {"bramley_version_wait_seconds",
    "Time from when a version was known here until all of it was here.",
    METRIC_HISTOGRAM, NULL, 0, {0}};
static struct metric keep_seconds = {"bramley_version_keep_seconds",
    "Time from when all of a version was here until its floor was kept.",
    METRIC_HISTOGRAM, NULL, 0, {0}};
static struct metric compile_seconds = {"bramley_version_compile_seconds",
    "Time that compiling the snapshot of a version took.", METRIC_HISTOGRAM,
    NULL, 0, {0}};

static struct metric *const metrics[] = {&version_gauge, &applied_gauge,
    &age_gauge, &share_gauge, &age_seconds, &wait_seconds, &keep_seconds,
    &compile_seconds};

void
control_version_register(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(metrics); i++)
		metric_register(metrics[i]);
}

void
control_version_set_steps(struct control *c, const struct spread_action *a)
{
	c->version_steps = a->steps;
}

/* Not called for the first version after the start, whose age is arbitrary. */
static void
record_steps(struct control *c, uint64_t version, uint64_t compile_us)
{
	const struct spread_steps *s = &c->version_steps;
	uint32_t within_ms = c->settings->in_force_within_ms;
	uint64_t percent;

	metric_set(&age_gauge, (int64_t)s->age_ms);
	metric_observe_us(&age_seconds, s->age_ms * US_PER_MS);
	metric_observe_us(&wait_seconds, s->wait_ms * US_PER_MS);
	metric_observe_us(&keep_seconds, s->keep_ms * US_PER_MS);
	metric_observe_us(&compile_seconds, compile_us);
	if (within_ms == 0)
		return;
	percent = s->age_ms * 100 / within_ms;
	metric_set(&share_gauge, (int64_t)percent);
	if (percent >= WARN_PERCENT)
		log_warning("Version %" PRIu64 " took %" PRIu64 " of %" PRIu32
			    " ms to come in force; see the steps in its line.",
		    version, s->age_ms, within_ms);
}

static void
log_change(const struct control *c, uint64_t version, uint64_t previous,
    uint64_t compile_us)
{
	const struct spread_stats *st = spread_stats(c->spread);
	const struct spread_steps *s = &c->version_steps;

	log_info("Version %" PRIu64 " is in force, was %" PRIu64
		 "; age_ms=%" PRIu64 " wait_ms=%" PRIu64 " keep_ms=%" PRIu64
		 " compile_ms=%" PRIu64 " notices=%" PRIu64 " pulls=%" PRIu64
		 " pulls_late=%" PRIu64 " floors_late=%" PRIu64 ".",
	    version, previous, s->age_ms, s->wait_ms, s->keep_ms,
	    compile_us / US_PER_MS, st->notices_heard, st->pulls_sent,
	    st->pulls_timed_out, st->floor_unacknowledged);
}

void
control_version_set_in_force(
    struct control *c, uint64_t version, uint64_t compile_us)
{
	uint64_t previous = control_version(c);

	if (version == previous)
		return;
	if (version == 0)
		log_warning("No version is in force any more, was %" PRIu64 ".",
		    previous);
	else
		log_change(c, version, previous, compile_us);
	if (version != 0 && previous != 0)
		record_steps(c, version, compile_us);
	atomic_store(&c->version, version);
	metric_set(&version_gauge, (int64_t)version);
	if (version != 0)
		metric_set(&applied_gauge, (int64_t)clock_wall_ms());
	control_refused_version_in_force(c, version);
}
