/*
 * Choice of a home.
 */
#include "quota/choice.h"

#include <stddef.h>

#define NEXT_TRY_MS 2000

static const struct quota_silent *
find(const struct quota_choice *c, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < QUOTA_CANDIDATES; i++)
		if (c->silent[i].id == id)
			return &c->silent[i];
	return NULL;
}

uint32_t
quota_choice_pick(const struct quota_choice *c,
    const struct quota_candidate *candidates, uint32_t n, uint64_t now_ms)
{
	const struct quota_silent *s;
	uint32_t i;

	for (i = 0; i < n; i++) {
		s = find(c, candidates[i].id);
		if (s == NULL || (candidates[i].ready && now_ms >= s->until_ms))
			return i;
	}
	return QUOTA_CHOICE_OWN;
}

/* The host that may be tried first is replaced when there is no room. */
void
quota_choice_silent(struct quota_choice *c, uint64_t id, uint64_t now_ms)
{
	struct quota_silent *s = (struct quota_silent *)find(c, id);
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
quota_choice_answered(struct quota_choice *c, uint64_t id)
{
	struct quota_silent *s = (struct quota_silent *)find(c, id);

	if (s != NULL) {
		s->id = 0;
		s->until_ms = 0;
	}
}
