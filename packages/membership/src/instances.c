/*
 * Which run of the upstream on this host counts.
 */
#include "membership/instances.h"

#include <string.h>

#include <glib.h>

/*
 * A run that was replaced counts again once it is heard this often: then it
 * lives, and what replaced it was late news.
 */
#define BACK_AFTER 2

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
		if (strcmp(s->runs[i].id, id) == 0)
			return i;
	return -1;
}

/* Moves a run to the front; the others keep their order. */
static void
to_front(struct instances *s, int i)
{
	struct instance run = s->runs[i];

	memmove(&s->runs[1], &s->runs[0], (size_t)i * sizeof(run));
	s->runs[0] = run;
	/* Counted from now on for the one that was replaced. */
	s->runs[1].heard = 0;
}

/* A run that is new here; the one known longest is forgotten for it. */
static void
add(struct instances *s, const char *id)
{
	struct instance *run = &s->runs[INSTANCES_MAX - 1];

	memset(run, 0, sizeof(*run));
	(void)g_strlcpy(run->id, id, sizeof(run->id));
	to_front(s, INSTANCES_MAX - 1);
}

enum instance_verdict
instances_heard(struct instances *s, const char *id, uint64_t seq)
{
	int i = id[0] != '\0' ? find(s, id) : -1;
	struct instance *run;

	if (id[0] == '\0')
		return INSTANCE_STALE;
	if (i < 0) {
		add(s, id);
		s->runs[0].seq = seq;
		s->has_current = 1;
		return INSTANCE_CURRENT;
	}
	run = &s->runs[i];
	if (run->left || seq < run->seq)
		return INSTANCE_STALE;
	run->heard += seq > run->seq;
	run->seq = seq;
	if (i == 0 && s->has_current)
		return INSTANCE_CURRENT;
	if (run->heard < BACK_AFTER)
		return INSTANCE_STALE;
	to_front(s, i);
	s->has_current = 1;
	return INSTANCE_CURRENT;
}

int
instances_left(struct instances *s, const char *id)
{
	int i = id[0] != '\0' ? find(s, id) : -1;

	if (id[0] == '\0')
		return 0;
	if (i < 0) {
		/* Never heard here: remembered, so that late news is known. */
		memset(&s->runs[INSTANCES_MAX - 1], 0, sizeof(s->runs[0]));
		i = INSTANCES_MAX - 1;
		(void)g_strlcpy(s->runs[i].id, id, sizeof(s->runs[i].id));
	}
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
