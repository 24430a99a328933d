/*
 * Numbers that decide how fast and at what cost configuration spreads.
 *
 * docs/design/distribution.md gives the measurements behind them.
 */
#ifndef SPREAD_PROFILE_H
#define SPREAD_PROFILE_H

#include <stdint.h>

/**
 * struct spread_profile - settings of the spread
 * @fanout: peers of the own data centre that get a notice in each round
 * @rounds: rounds in which a node passes a new head on
 * @interval_ms: time between two rounds
 * @quench: notices of the same head heard that end the rounds early
 * @relay_fanout: other data centres that a relay tells in each round
 * @readers: nodes of a data centre that poll the platform, and that relay
 * @head_poll_ms: mean time between two polls of one reader
 * @alone_poll_ms: a node that could not join for so long, or twice that, polls
 *	by itself
 * @batch_ms: least time between two versions that a node takes up; versions
 *	that come closer together are merged
 * @anti_entropy_ms: mean time between two comparisons of a relay with another
 *	data centre
 * @pull_timeout_ms: deadline of a pull or fetch from a peer
 * @pull_peers: peers that may fail before the platform is read
 * @reply_bytes: content that one answer to a pull or fetch carries at most
 * @join_limit: pulls of more than one answer that are served at once
 * @serve_bytes_per_s: content served to peers
 * @source_reads_per_s: reads of objects and versions that all readers of all
 *	data centres together may ask of the platform
 * @source_wait_ms: longest random wait before a new version is read from the
 *	platform, in which a peer may offer it
 * @backoff_base_ms: first back-off from the platform, doubled on each failure
 * @backoff_cap_ms: longest back-off
 * @floor_wait_ms: longest wait for a keeper's acknowledgement
 * @floor_ask_ms: time for which a starting node collects floors
 * @floor_refresh_ms: mean time between two retellings of the floor
 * @keepers: peers of the own data centre that remember the floor; one of
 *	another data centre does so too
 * @progress_ms: least time between two progress reports
 * @progress_refresh_ms: mean time between two reports without a change
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

/** spread_profile_registry() - convergence first */
const struct spread_profile *spread_profile_registry(void);

/** spread_profile_crew() - control bytes first */
const struct spread_profile *spread_profile_crew(void);

/**
 * spread_profile_find() - a profile by the name that settings give it
 * @name: "registry" or "crew"
 *
 * Return: the profile, or NULL.
 */
const struct spread_profile *spread_profile_find(const char *name);

#endif
