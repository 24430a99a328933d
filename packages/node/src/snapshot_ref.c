/*
 * The snapshot in force: an RCU-protected pointer to a holder.
 */
#include <stdlib.h>

#include <glib.h>
#include <urcu-bp.h>

#include "config/snapshot.h"
#include "node/snapshot_ref.h"

/* What the RCU pointer points at; freed after a grace period. */
struct snapshot_holder {
	struct rcu_head rcu;
	struct snapshot *snapshot;
};

static struct snapshot_holder *current;

static void
holder_free(struct rcu_head *head)
{
	struct snapshot_holder *h;

	h = caa_container_of(head, struct snapshot_holder, rcu);
	snapshot_unref(h->snapshot);
	g_free(h);
}

struct snapshot *
snapshot_ref_get(void)
{
	struct snapshot_holder *h;
	struct snapshot *s = NULL;

	rcu_read_lock();
	h = rcu_dereference(current);
	if (h != NULL)
		s = snapshot_ref(h->snapshot);
	rcu_read_unlock();
	return s;
}

void
snapshot_ref_publish(struct snapshot *s)
{
	struct snapshot_holder *next = NULL;
	struct snapshot_holder *old = current;

	if (s != NULL) {
		next = g_new0(struct snapshot_holder, 1);
		next->snapshot = s;
	}
	rcu_set_pointer(&current, next);
	if (old != NULL)
		call_rcu(&old->rcu, holder_free);
}
