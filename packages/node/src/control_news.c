/*
 * The newest version known on this node: from the heads of peers, from the
 * newest version at the platform that peers gossip, or from the last read of
 * this node's own feed.  The version may still be spreading, or may be unusable
 * on all nodes.
 */
#include "base/metrics.h"
#include "control_priv.h"
#include "node/entry.h"

static struct metric known_gauge = {"bramley_version_known",
    "Newest configuration version that this node knows of.", METRIC_GAUGE, NULL,
    0, {0}};

void
control_news_register(void)
{
	metric_register(&known_gauge);
}

void
control_news_add_seen(struct control *c, uint64_t version)
{
	if (version != 0)
		membership_set_known(c->membership, version);
}

/* A version that can't be used here is not awaited, as it never comes in
 * force. */
static void
update_awaited(struct control *c, uint64_t version)
{
	if (c->refused.active)
		version = 0;
	if (version == c->awaited_version)
		return;
	c->awaited_version = version;
	entry_version_awaited(c->entry, version);
}

/* Uses the head's version in force, since a halted version won't come in
 * force. */
void
control_news_publish(struct control *c)
{
	const struct rec_head *head = spread_head(c->spread);
	uint64_t known = membership_known(c->membership, control_now(c));

	update_awaited(c, head->in_force);
	known = MAX(known, head->in_force);
	if (known == c->known_version)
		return;
	c->known_version = known;
	metric_set(&known_gauge, (int64_t)known);
	entry_version_known(c->entry, known);
}
