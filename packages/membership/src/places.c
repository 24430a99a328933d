/*
 * Places in the directory: see membership/places.h.
 */
#include "membership/places.h"

#include <stdio.h>
#include <string.h>

#include "base/hash.h"

/* Seed that keeps the hash for places apart from other hashes of names. */
#define PLACE_SEED 0x706c6163U

struct search {
	const struct member *self;
	char place[PLACE_BYTES];
	uint64_t own_score;
	int outranked;
};

void
places_lower_bound(const char *data_centre, char *place)
{
	(void)snprintf(place, PLACE_BYTES, "%s/", data_centre);
}

static unsigned
place_number(const char *host)
{
	return (unsigned)(hash64(host, strlen(host), PLACE_SEED) %
	    PLACES_PER_DATA_CENTRE);
}

void
places_of(const char *data_centre, const char *host, char *place)
{
	(void)snprintf(
	    place, PLACE_BYTES, "%s/%u", data_centre, place_number(host));
}

int
places_reads_at_start(const char *host)
{
	return place_number(host) < PLACES_READ_AT_START;
}

static void
check_rival(const struct member *mb, void *ctx)
{
	struct search *s = ctx;
	char place[PLACE_BYTES];

	if (s->outranked || mb == s->self || !member_is_live(mb) ||
	    strcmp(mb->data_centre, s->self->data_centre) != 0)
		return;
	places_of(mb->data_centre, mb->host, place);
	s->outranked = strcmp(place, s->place) == 0 &&
	    membership_score_by_link(place, mb) > s->own_score;
}

int
places_held(const struct membership *m)
{
	const struct member *self = membership_self(m);
	struct search s = {.self = self};

	places_of(self->data_centre, self->host, s.place);
	s.own_score = membership_score_by_link(s.place, self);
	membership_each(m, check_rival, &s);
	return !s.outranked;
}
