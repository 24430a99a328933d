/*
 * The profiles "registry" and "crew".
 */
#include "spread/profile.h"

#include <string.h>

static const struct spread_profile registry = {
    .fanout = 4,
    .rounds = 2,
    .interval_ms = 100,
    .quench = 3,
    .relay_fanout = 3,
    .readers = 3,
    .head_poll_ms = 1000,
    .alone_poll_ms = 5000,
    .batch_ms = 200,
    .anti_entropy_ms = 2000,
    .pull_timeout_ms = 1000,
    .pull_peers = 3,
    .reply_bytes = 65536,
    .join_limit = 8,
    .serve_bytes_per_s = 4194304,
    .source_reads_per_s = 100,
    .source_wait_ms = 200,
    .backoff_base_ms = 500,
    .backoff_cap_ms = 10000,
    .floor_wait_ms = 200,
    .floor_ask_ms = 500,
    .floor_refresh_ms = 60000,
    .keepers = 3,
    .progress_ms = 300,
    .progress_refresh_ms = 30000,
};

static const struct spread_profile crew = {
    .fanout = 3,
    .rounds = 1,
    .interval_ms = 300,
    .quench = 2,
    .relay_fanout = 2,
    .readers = 2,
    .head_poll_ms = 2000,
    .alone_poll_ms = 5000,
    .batch_ms = 2000,
    .anti_entropy_ms = 5000,
    .pull_timeout_ms = 2000,
    .pull_peers = 3,
    .reply_bytes = 65536,
    .join_limit = 4,
    .serve_bytes_per_s = 1048576,
    .source_reads_per_s = 50,
    .source_wait_ms = 500,
    .backoff_base_ms = 1000,
    .backoff_cap_ms = 20000,
    .floor_wait_ms = 300,
    .floor_ask_ms = 1000,
    .floor_refresh_ms = 120000,
    .keepers = 3,
    .progress_ms = 1000,
    .progress_refresh_ms = 60000,
};

const struct spread_profile *
spread_profile_registry(void)
{
	return &registry;
}

const struct spread_profile *
spread_profile_crew(void)
{
	return &crew;
}

const struct spread_profile *
spread_profile_find(const char *name)
{
	if (strcmp(name, "registry") == 0)
		return &registry;
	if (strcmp(name, "crew") == 0)
		return &crew;
	return NULL;
}
