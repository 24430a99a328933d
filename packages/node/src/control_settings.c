/*
 * Settings of the node, converted to those of membership and spread.
 */
#include <string.h>

#include <glib.h>

#include "control_priv.h"
#include "proto/settings.h"
#include "spread/profile.h"

/* Changes are relayed to other data centres once in this many probe
 * intervals. */
#define RELAY_INTERVALS 2

/*
 * With a directory, nodes that start together find one another at once.  If no
 * node holds the table of hosts, a new table is therefore begun early, since
 * callers wait for it after a power loss of all hosts.  Partitions that began
 * separate tables find each other through the directory.
 */
#define AWAIT_SEEDS_MS 3000
#define BOOTSTRAP_MS 600

void
control_membership_settings(
    const struct settings *s, struct membership_settings *ms)
{
	membership_settings_init(ms);
	(void)g_strlcpy(ms->host, s->host, sizeof(ms->host));
	(void)g_strlcpy(
	    ms->data_centre, s->data_centre, sizeof(ms->data_centre));
	ms->address.ip = s->address;
	ms->address.port = s->peer_port;
	ms->call_port = s->call_port;
	ms->link_mbps = s->link_mbps;
	ms->seeds = g_memdup2(s->seeds, s->n_seeds * sizeof(s->seeds[0]));
	ms->n_seeds = s->n_seeds;
	ms->probe_interval_ms = s->probe_interval_ms;
	ms->probe_timeout_ms = s->probe_timeout_ms;
	ms->suspicion_ms = s->suspicion_ms;
	ms->join_limit = s->join_limit;
	ms->relay_interval_ms = RELAY_INTERVALS * s->probe_interval_ms;
	if (s->adapter == SETTINGS_ADAPTER_NONE)
		return;
	ms->await_seeds_ms = AWAIT_SEEDS_MS;
	ms->bootstrap_ms = BOOTSTRAP_MS;
}

/* A setting of 0 keeps the value of the profile. */
static void
override(uint32_t *value, uint32_t setting)
{
	if (setting != 0)
		*value = setting;
}

void
control_spread_config(const struct settings *s, struct spread_config *sc)
{
	const char *name = settings_profile_name(s->profile);

	memset(sc, 0, sizeof(*sc));
	sc->profile = *spread_profile_find(name);
	sc->host = s->host;
	sc->data_centre = s->data_centre;
	override(&sc->profile.fanout, s->spread_fanout);
	override(&sc->profile.interval_ms, s->spread_interval_ms);
	override(&sc->profile.readers, s->readers_per_data_centre);
	override(&sc->profile.head_poll_ms, s->head_poll_ms);
	override(&sc->profile.batch_ms, s->batch_ms);
	override(&sc->profile.anti_entropy_ms, s->anti_entropy_ms);
	override(&sc->profile.pull_timeout_ms, s->pull_timeout_ms);
	override(&sc->profile.floor_wait_ms, s->floor_wait_ms);
	override(&sc->profile.floor_ask_ms, s->floor_ask_ms);
	override(&sc->profile.alone_poll_ms, s->alone_poll_ms);
}
