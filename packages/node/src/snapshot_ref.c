/*
 * The snapshot in force: an RCU-protected pointer to a holder.
 */
#include <stdlib.h>

#include <glib.h>
#include <urcu-bp.h>

#include "config/snapshot.h"
#include "node/snapshot_ref.h"

/*
 * The thread sanitizer cannot detect that a grace period ends after the readers
 * that it waits for.  These two annotations declare that order.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define happens_before(addr) __tsan_release(addr)
#define happens_after(addr) __tsan_acquire(addr)
#else
#define happens_before(addr) (void)(addr)
#define happens_after(addr) (void)(addr)
#endif

/* Target of the RCU-protected pointer; freed after a grace period. */
struct snapshot_holder {
	struct rcu_head rcu;
	struct snapshot *snapshot;
};

static struct snapshot_holder *current;
static char grace_period; /* address used by the annotations only */

static void
holder_free(struct rcu_head *head)
{
	struct snapshot_holder *h;

	happens_after(&grace_period);
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
	happens_after(&current);
	if (h != NULL)
		s = snapshot_ref(h->snapshot);
	happens_before(&grace_period);
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
	happens_before(&current);
	rcu_set_pointer(&current, next);
	if (old != NULL)
		call_rcu(&old->rcu, holder_free);
}
