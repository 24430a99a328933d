/*
 * Places: which hosts stand in the directory at the platform.
 *
 * A directory of all hosts costs a call for each that starts or stops, and
 * keeps those that are gone for good.  Here each data centre has a few places;
 * a host has one of them by its name, and of those with the same place the
 * first in rank that lives holds it.  Whoever holds it next writes over the
 * entry, so the directory never grows.
 */
#ifndef MEMBERSHIP_PLACES_H
#define MEMBERSHIP_PLACES_H

#include "membership/membership.h"

/**
 * PLACES_PER_DATA_CENTRE - places of a data centre
 *
 * All of them are at once on hosts that are gone, before others take them
 * over, once in 256 times that half of the hosts are lost.
 */
#define PLACES_PER_DATA_CENTRE 8

/** PLACES_READ_AT_START - hosts of so many places read the platform at once
 * when they start and stand there, before anybody knows who the readers are */
#define PLACES_READ_AT_START 2

/** PLACE_BYTES - room for a place's name */
#define PLACE_BYTES (MEMBER_NAME_BYTES + 4)

/**
 * places_of() - the place of a host
 * @data_centre: its data centre
 * @host: its name
 * @place: where the place's name goes, PLACE_BYTES
 */
void places_of(const char *data_centre, const char *host, char *place);

/**
 * places_lower_bound() - a text that sorts before all places of a data centre
 * @data_centre: the data centre
 * @place: where it goes, PLACE_BYTES
 */
void places_lower_bound(const char *data_centre, char *place);

/** places_reads_at_start() - whether a host has one of the first places */
int places_reads_at_start(const char *host);

/** places_held() - whether the own host is to hold its place */
int places_held(const struct membership *m);

#endif
