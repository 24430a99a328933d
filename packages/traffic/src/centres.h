/*
 * Detection of partitioned data centres at an entry.
 *
 * Hosts in a partitioned data centre look idle, since no load report arrives
 * from them.  Calls for which the own data centre has no capacity are sent
 * there, and each host would have to be detected by its own silence.  Two
 * hosts that fall silent one after the other, with nothing received from the
 * data centre in between, are taken as evidence for the whole data centre.
 */
#ifndef TRAFFIC_CENTRES_H
#define TRAFFIC_CENTRES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct centre - reachability of one data centre
 * @id: number of the data centre
 * @silent_host: host that fell silent last, 0 after anything was received
 * @silent_ms: monotonic time at which that host fell silent
 * @partitioned: considered partitioned, until anything is received
 * @probe_ms: monotonic time of the next probe by a call
 */
struct centre {
	uint64_t id;
	uint64_t silent_host;
	uint64_t silent_ms;
	bool partitioned;
	uint64_t probe_ms;
};

/**
 * centres_new() - create a table of data centres; free with
 * g_hash_table_destroy()
 */
GHashTable *centres_new(void);

/**
 * centres_host_silent() - record that a host has fallen silent
 *
 * Return: whether the data centre is considered partitioned from now on.
 */
bool centres_host_silent(
    GHashTable *centres, uint64_t centre, uint64_t host, uint64_t now_ms);

/**
 * centres_received() - record that something was received from a data centre
 */
void centres_received(GHashTable *centres, uint64_t centre);

/**
 * centres_is_partitioned() - whether the data centre is considered partitioned
 */
bool centres_is_partitioned(GHashTable *centres, uint64_t centre);

/**
 * centres_probe_due() - whether a call should probe the partitioned data
 * centre
 */
bool centres_probe_due(GHashTable *centres, uint64_t centre, uint64_t now_ms);

/** centres_probe_sent() - record that a probe is in flight */
void centres_probe_sent(GHashTable *centres, uint64_t centre, uint64_t now_ms);

#endif
