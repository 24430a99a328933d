/*
 * Counters of spread and membership as metrics.
 */
#include <stddef.h>

#include <glib.h>

#include "base/metrics.h"
#include "control_priv.h"

/* A metric and the offset of its value in the module's struct of counters. */
struct total {
	struct metric metric;
	size_t offset;
};

#define TOTAL(owner, field, name, help)                                   \
	{                                                                 \
		{"bramley_" name "_total", help, METRIC_COUNTER, NULL, 0, \
		    {0}},                                                 \
		    offsetof(struct owner, field)                         \
	}

static struct total spread_totals[] = {
    TOTAL(spread_stats, notices_sent, "notices_sent", "Notices sent."),
    TOTAL(spread_stats, notices_heard, "notices_heard", "Notices heard."),
    TOTAL(spread_stats, pulls_sent, "pulls_sent",
	"Pulls of changed sections asked of peers."),
    TOTAL(
	spread_stats, pulls_served, "pulls_served", "Pulls answered to peers."),
    TOTAL(spread_stats, pulls_refused, "pulls_refused",
	"Pulls of peers turned away with a time to come back."),
    TOTAL(spread_stats, pulls_timed_out, "pulls_timed_out",
	"Pulls that a peer did not answer in time."),
    TOTAL(spread_stats, peers_blamed, "peers_blamed",
	"Wrong pieces of configuration received from peers."),
    TOTAL(spread_stats, head_reads, "head_reads",
	"Reads of the head row asked of the platform."),
    TOTAL(spread_stats, head_probes, "head_probes",
	"Reads of the head row beside one that waits, while the platform is "
	"slow."),
    TOTAL(spread_stats, version_reads, "version_reads",
	"Reads of version rows asked of the platform."),
    TOTAL(spread_stats, object_reads, "object_reads",
	"Reads of objects asked of the platform."),
    TOTAL(spread_stats, versions_applied, "versions_applied",
	"Versions put in force."),
    TOTAL(spread_stats, floor_unacknowledged, "floor_unacknowledged",
	"Versions put in force though no keeper acknowledged the floor."),
};

static struct total membership_totals[] = {
    TOTAL(membership_counters, probes, "probes", "Probes sent."),
    TOTAL(membership_counters, probes_failed, "probes_failed",
	"Probes without an answer, indirect ones included."),
    TOTAL(membership_counters, suspected, "suspected",
	"Suspicions taken up or raised."),
    TOTAL(
	membership_counters, failed, "failed_hosts", "Hosts taken for failed."),
    TOTAL(membership_counters, refuted, "refutations",
	"Times that this host refuted news of its own failure."),
    TOTAL(membership_counters, syncs, "syncs",
	"Comparisons of the table of hosts begun."),
    TOTAL(membership_counters, compared, "start_comparisons",
	"Comparisons of the table of hosts begun after the start."),
    TOTAL(membership_counters, joins_served, "joins_served",
	"Parts of the table of hosts handed to starting nodes."),
    TOTAL(membership_counters, joins_refused, "joins_refused",
	"Starting nodes turned away with a time to come back."),
    TOTAL(membership_counters, rejected, "rejected_messages",
	"Messages of peers that could not be read."),
};

static void
totals_register(struct total *totals, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		metric_register(&totals[i].metric);
}

static void
totals_copy(struct total *totals, size_t n, const void *from)
{
	const uint64_t *value;
	size_t i;

	for (i = 0; i < n; i++) {
		value = (const void *)((const char *)from + totals[i].offset);
		metric_set(&totals[i].metric, (int64_t)*value);
	}
}

void
control_totals_register(void)
{
	totals_register(spread_totals, G_N_ELEMENTS(spread_totals));
	totals_register(membership_totals, G_N_ELEMENTS(membership_totals));
}

void
control_totals_copy(const struct control *c)
{
	totals_copy(spread_totals, G_N_ELEMENTS(spread_totals),
	    spread_stats(c->spread));
	totals_copy(membership_totals, G_N_ELEMENTS(membership_totals),
	    membership_counters(c->membership));
}
