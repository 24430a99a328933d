/*
 * Selection of the current run of an upstream: see membership/instances.h.
 */
#include "membership/instances.h"

#include <string.h>

#include <glib.h>

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
