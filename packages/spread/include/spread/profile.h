/*
 * Tuning parameters: how fast configuration spreads, and at what cost.
 *
 * docs/design/distribution.md lists the measurements behind the values.
 */
#ifndef SPREAD_PROFILE_H
#define SPREAD_PROFILE_H

#include <stdint.h>

/**
 * struct spread_profile - tuning parameters
 * @fanout: near peers notified in each round of gossip
 * @rounds: rounds in which a node gossips a new head
 * @interval_ms: mean time between two rounds
 * @quench: received notices of the same head that end the rounds early; 0 to
 *	send all rounds
 * @relay_fanout: other data centres that a relay notifies in each round
 * @readers: hosts of a data centre that read the platform and act as relays
 * @head_poll_ms: mean time between two polls of one reader
 * @alone_poll_ms: a node that hasn't joined polls by itself after once to twice
 *	this time
 * @batch_ms: least time between two versions that a node takes up; versions
 *	that come closer together are merged
 * @anti_entropy_ms: mean time between two comparisons of a relay's head with
 *	another data centre's
 * @pull_timeout_ms: timeout of a pull or fetch from a peer
 * @pull_peers: failures of peers after which the platform is read
 * @reply_bytes: content that one answer to a pull or fetch carries at most
 * @join_limit: peers served at once whose pulls need several answers
 * @serve_bytes_per_s: bytes of content served to peers per second
 * @source_reads_per_s: reads of versions and objects that a node may request
 *	from the platform, half as many in a burst; meant as the limit for all
 *	readers of all data centres together, which read one after another
 * @source_wait_ms: time slot of each node in the order in which nodes read a
 *	new version from the platform; a peer may offer the version meanwhile
 * @backoff_base_ms: first back-off from the platform, doubled on each failure
 * @backoff_cap_ms: longest back-off
 * @floor_wait_ms: longest wait for a keeper's acknowledgement
 * @floor_ask_ms: time during which a starting node collects floors
 * @floor_refresh_ms: mean time between two announcements of the same floor
 * @keepers: hosts of this data centre that store a host's floor; one of another
 *	data centre is added
 * @progress_ms: least time between two progress reports
 * @progress_refresh_ms: longest mean time between two reports without a change
 */
struct spread_profile {
	uint32_t fanout;
	uint32_t rounds;
	uint32_t interval_ms;
	uint32_t quench;
	uint32_t relay_fanout;
	uint32_t readers;
	uint32_t head_poll_ms;
	uint32_t alone_poll_ms;
	uint32_t batch_ms;
	uint32_t anti_entropy_ms;
	uint32_t pull_timeout_ms;
	uint32_t pull_peers;
	uint32_t reply_bytes;
	uint32_t join_limit;
	uint32_t serve_bytes_per_s;
	uint32_t source_reads_per_s;
	uint32_t source_wait_ms;
	uint32_t backoff_base_ms;
	uint32_t backoff_cap_ms;
	uint32_t floor_wait_ms;
	uint32_t floor_ask_ms;
	uint32_t floor_refresh_ms;
	uint32_t keepers;
	uint32_t progress_ms;
	uint32_t progress_refresh_ms;
};

/** spread_profile_registry() - profile for the fastest convergence */
const struct spread_profile *spread_profile_registry(void);

/** spread_profile_crew() - profile for the fewest control bytes */
const struct spread_profile *spread_profile_crew(void);

/**
 * spread_profile_find() - look up a profile by its name in the settings
 * @name: "registry" or "crew"
 *
 * Return: the profile, or NULL if the name is unknown.
 */
const struct spread_profile *spread_profile_find(const char *name);

#endif
