/*
 * History of the versions in force.
 */
#include "traffic/superseded.h"

#include "base/clock.h"

/* Default grace time: that of the smallest deployments. */
#define GRACE_DEFAULT_MS 2000

uint64_t
superseded_grace_ms(uint64_t announced_ms)
{
	return announced_ms != 0 ? announced_ms : GRACE_DEFAULT_MS;
}

static const struct superseded_entry *
newest(const struct superseded *s)
{
	return &s->entries[(s->next + SUPERSEDED_MAX - 1) % SUPERSEDED_MAX];
}

void
superseded_record(struct superseded *s, uint64_t version, uint64_t now_ms)
{
	struct superseded_entry *e = &s->entries[s->next];

	if (version == 0 || version == newest(s)->version)
		return;
	e->version = version;
	e->since_ms = now_ms;
	s->next = (s->next + 1) % SUPERSEDED_MAX;
}

bool
superseded_is_expired(const struct superseded *s, uint64_t version,
    uint64_t now_ms, uint64_t grace_ms)
{
	uint64_t since_ms = DEADLINE_NEVER;
	uint32_t i;

	for (i = 0; i < SUPERSEDED_MAX; i++)
		if (s->entries[i].version > version &&
		    s->entries[i].since_ms < since_ms)
			since_ms = s->entries[i].since_ms;
	return since_ms != DEADLINE_NEVER && now_ms >= since_ms + grace_ms;
}
