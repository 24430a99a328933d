/*
 * Which other data centres an entry takes for cut off.
 *
 * Hosts behind a cut look idle, since nothing comes back that says otherwise;
 * calls that the own data centre has no room for are led there, and each host
 * has to be found out by its own silence.  Two that fall silent one after the
 * other, with nothing heard from there between, speak for all of them.
 */
#ifndef TRAFFIC_CENTRES_H
#define TRAFFIC_CENTRES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct centre - what is known of the way to one data centre
 * @id: which
 * @silent_host: the host that fell silent last, since anything was heard
 * @silent_ms: when it did
 * @partitioned: taken for cut off, until something is heard
 * @probe_ms: when one call may be led there to try it
 */
struct centre {
	uint64_t id;
	uint64_t silent_host;
	uint64_t silent_ms;
	bool partitioned;
	uint64_t probe_ms;
};

/** centres_new() - a table; free with g_hash_table_destroy() */
GHashTable *centres_new(void);

/**
 * centres_host_silent() - a host there has fallen silent
 *
 * Return: whether the data centre is taken for cut off from now on.
 */
bool centres_host_silent(
    GHashTable *centres, uint64_t centre, uint64_t host, uint64_t now_ms);

/** centres_received() - something came from there */
void centres_received(GHashTable *centres, uint64_t centre);

/** centres_is_partitioned() - whether it is taken for cut off */
bool centres_is_partitioned(GHashTable *centres, uint64_t centre);

/** centres_probe_due() - whether one call is to try it all the same */
bool centres_probe_due(GHashTable *centres, uint64_t centre, uint64_t now_ms);

/** centres_probe_sent() - that call is on its way */
void centres_probe_sent(GHashTable *centres, uint64_t centre, uint64_t now_ms);

#endif
