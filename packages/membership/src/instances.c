/*
 * Selection of the current run of an upstream: see membership/instances.h.
 */
#include "membership/instances.h"

#include <string.h>

#include <glib.h>

#include "base/hash.h"

/*
 * Heartbeats after which a replaced run becomes current again: the run is alive
 * then, and the heartbeat that replaced it arrived late.
 */
#define RESUME_HEARTBEATS 2

void
instances_init(struct instances *s)
{
	memset(s, 0, sizeof(*s));
}

static int
find(const struct instances *s, const char *id)
{
	int i;

	for (i = 0; i < INSTANCES_MAX; i++)
		if (g_strcmp0(s->runs[i].id, id) == 0)
			return i;
	return -1;
}

/*
 * Moves a run to the front, where the current run is; the others keep their
 * order.
 */
static void
make_current(struct instances *s, int i)
{
	struct instance run = s->runs[i];

	memmove(&s->runs[1], &s->runs[0], (size_t)i * sizeof(run));
	s->runs[0] = run;
	/* Heartbeats of the replaced run count from now on. */
	s->runs[1].heartbeats = 0;
}

/* Initializes a run at index @i, in place of the run there. */
static void
init_run(struct instances *s, int i, const char *id, uint64_t started_ms)
{
	struct instance run = {
	    .id = g_intern_string(id), .started_ms = started_ms};

	s->runs[i] = run;
}

/*
 * Whether one start is known to be later than another; 0 is an unknown start.
 */
static int
is_later(uint64_t a_ms, uint64_t b_ms)
{
	return b_ms != 0 && a_ms > b_ms;
}

static int
is_earlier(uint64_t a_ms, uint64_t b_ms)
{
	return a_ms != 0 && a_ms < b_ms;
}

/* Adds a run and makes it current; the run at @i is dropped. */
static enum instance_verdict
add_run(struct instances *s, int i, const char *id, uint64_t started_ms,
    uint64_t seq)
{
	init_run(s, i, id, started_ms);
	s->runs[i].seq = seq;
	make_current(s, i);
	s->has_current = 1;
	return INSTANCE_CURRENT;
}

uint64_t
instance_key(const char *id)
{
	return hash64(id, strlen(id), 0);
}

static struct rec_run *
find_restored(struct instances *s, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < s->n_restored; i++)
		if (s->restored[i].key == key)
			return &s->restored[i];
	return NULL;
}

/* Whether a heartbeat of a run that is unknown here precedes a report to an
 * earlier process of this node. */
static int
precedes_restored(
    struct instances *s, const char *id, uint64_t started_ms, uint64_t seq)
{
	const struct rec_run *r = find_restored(s, instance_key(id));

	if (r == NULL || is_later(started_ms, r->started_ms))
		return 0;
	return r->state == ENDPOINT_LEFT || seq < r->seq ||
	    is_earlier(started_ms, r->started_ms);
}

enum instance_verdict
instances_heartbeat(
    struct instances *s, const char *id, uint64_t started_ms, uint64_t seq)
{
	int i = id[0] != '\0' ? find(s, id) : -1;
	struct instance *run;

	if (id[0] == '\0')
		return INSTANCE_STALE;
	if (i < 0 && is_earlier(started_ms, instances_current_started_ms(s)))
		return INSTANCE_STALE;
	if (i < 0 && precedes_restored(s, id, started_ms, seq))
		return INSTANCE_STALE;
	if (i < 0)
		return add_run(s, INSTANCES_MAX - 1, id, started_ms, seq);
	run = &s->runs[i];
	if (is_later(started_ms, run->started_ms))
		return add_run(s, i, id, started_ms, seq);
	if (is_earlier(started_ms, run->started_ms))
		return INSTANCE_STALE;
	run->started_ms = MAX(run->started_ms, started_ms);
	if (run->left || seq < run->seq)
		return INSTANCE_STALE;
	run->heartbeats += seq > run->seq;
	run->seq = seq;
	if (i == 0 && s->has_current)
		return INSTANCE_CURRENT;
	if (run->heartbeats < RESUME_HEARTBEATS)
		return INSTANCE_STALE;
	make_current(s, i);
	s->has_current = 1;
	return INSTANCE_CURRENT;
}

int
instances_left(struct instances *s, const char *id, uint64_t started_ms)
{
	int i = id[0] != '\0' ? find(s, id) : -1;

	if (id[0] == '\0')
		return 0;
	if (i >= 0 && is_earlier(started_ms, s->runs[i].started_ms))
		return 0;
	if (i < 0) {
		/* Unknown here: kept, so that its late heartbeats are stale. */
		i = INSTANCES_MAX - 1;
		init_run(s, i, id, started_ms);
	}
	s->runs[i].started_ms = MAX(s->runs[i].started_ms, started_ms);
	s->runs[i].left = 1;
	if (i != 0 || !s->has_current)
		return 0;
	s->has_current = 0;
	return 1;
}

/* Applies a report to a run that is known here. */
static int
update_run(struct instances *s, int i, const struct rec_run *report)
{
	struct instance *run = &s->runs[i];

	if (is_earlier(report->started_ms, run->started_ms))
		return 0;
	if (report->state == ENDPOINT_LEFT)
		return instances_left(s, run->id, report->started_ms);
	run->seq = MAX(run->seq, report->seq);
	return 0;
}

int
instances_restore(struct instances *s, const struct rec_run *report)
{
	struct rec_run *r = find_restored(s, report->key);
	int i;

	for (i = 0; i < INSTANCES_MAX; i++)
		if (s->runs[i].id != NULL &&
		    instance_key(s->runs[i].id) == report->key)
			return update_run(s, i, report);
	if (r == NULL)
		r = &s->restored[s->n_restored < INSTANCES_MAX
			? s->n_restored++
			: INSTANCES_MAX - 1];
	*r = *report;
	return 0;
}

uint64_t
instances_started_ms(const struct instances *s, const char *id)
{
	int i = find(s, id);

	return i >= 0 ? s->runs[i].started_ms : 0;
}

const char *
instances_current(const struct instances *s)
{
	return s->has_current ? s->runs[0].id : "";
}

uint64_t
instances_current_started_ms(const struct instances *s)
{
	return s->has_current ? s->runs[0].started_ms : 0;
}

int
instances_is_latest(
    const struct instances *s, const char *id, uint64_t started_ms)
{
	const struct instance *run = &s->runs[0];

	return id[0] != '\0' && g_strcmp0(run->id, id) == 0 &&
	    !is_later(started_ms, run->started_ms);
}
