/*
 * Places: selection of the hosts that are registered in the platform's
 * directory.
 *
 * A directory of all hosts costs a call for each host that starts or stops, and
 * keeps hosts that are gone for good.  Here each data centre has a few places.
 * The name of a host determines its place, and of the live hosts of a place,
 * the first in rank holds it.  The next holder overwrites the entry, so the
 * directory never grows.
 */
#ifndef MEMBERSHIP_PLACES_H
#define MEMBERSHIP_PLACES_H

#include "membership/membership.h"

/**
 * PLACES_PER_DATA_CENTRE - places of a data centre
 *
 * When half of the hosts are lost, all 8 places are on lost hosts with a
 * probability of 1 in 256, until other hosts take the places over.
 */
#define PLACES_PER_DATA_CENTRE 8

/**
 * PLACES_READ_AT_START - number of places whose registered hosts read the
 * platform at once at their start, before the readers are known
 */
#define PLACES_READ_AT_START 2

/** PLACE_BYTES - size of a buffer for a place's name */
#define PLACE_BYTES (MEMBER_NAME_BYTES + 4)

/**
 * places_of() - the place of a host
 * @data_centre: its data centre
 * @host: its name
 * @place: where the place's name is written, PLACE_BYTES
 */
void places_of(const char *data_centre, const char *host, char *place);

/**
 * places_lower_bound() - a name that sorts before all places of a data centre
 * @data_centre: the data centre
 * @place: where the name is written, PLACE_BYTES
 */
void places_lower_bound(const char *data_centre, char *place);

/**
 * places_reads_at_start() - whether a host's place is one of those whose hosts
 * read the platform at their start
 */
int places_reads_at_start(const char *host);

/** places_held() - whether the own host should hold its place */
int places_held(const struct membership *m);

#endif
