/*
 * Choice of a home.
 */
#include "quota/choice.h"

#include <stddef.h>

#define NEXT_TRY_MS 2000

static struct quota_silent *
find(struct quota_choice *c, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < QUOTA_CANDIDATES; i++)
		if (c->silent[i].id == id)
			return &c->silent[i];
	return NULL;
}

uint32_t
quota_choice_pick(struct quota_choice *c,
    const struct quota_candidate *candidates, uint32_t n, uint64_t now_ms)
{
	struct quota_silent *s;
	uint32_t i;

	for (i = 0; i < n; i++) {
		s = find(c, candidates[i].id);
		if (s == NULL || (candidates[i].ready && now_ms >= s->until_ms))
			return i;
	}
	return QUOTA_CHOICE_OWN;
}

/* The host that may be tried first is forgotten when there is no room. */
static void
note_silent(struct quota_choice *c, uint64_t id, uint64_t now_ms)
{
	struct quota_silent *s = find(c, id);
	uint32_t i;

	if (s == NULL) {
		s = &c->silent[0];
		for (i = 1; i < QUOTA_CANDIDATES; i++)
			if (c->silent[i].until_ms < s->until_ms)
				s = &c->silent[i];
	}
	s->id = id;
	s->until_ms = now_ms + NEXT_TRY_MS;
}

void
quota_choice_lost(struct quota_choice *c, uint64_t id, uint64_t now_ms)
{
	c->misses = 0;
	note_silent(c, id, now_ms);
}

bool
quota_choice_missed(struct quota_choice *c, uint64_t id, uint64_t now_ms)
{
	c->misses++;
	if (c->misses < QUOTA_MISSES)
		return false;
	quota_choice_lost(c, id, now_ms);
	return true;
}

void
quota_choice_answered(struct quota_choice *c, uint64_t id)
{
	struct quota_silent *s = find(c, id);

	c->misses = 0;
	if (s != NULL) {
		s->id = 0;
		s->until_ms = 0;
	}
}
