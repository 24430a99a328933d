/*
 * Queues of a class, and the set of ranks at which requests wait: there are
 * many ranks, and requests wait at few of them.
 */
#include "admission_defs.h"

uint32_t
admission_queue_index(const GQueue *q, uint64_t target_ms)
{
	const struct waiting *w;
	uint32_t n = 0;
	GList *l;

	for (l = q->head; l != NULL; l = l->next, n++) {
		w = l->data;
		if (target_ms != 0 && w->req.target_ms > target_ms)
			break;
	}
	return n;
}

void
admission_enqueue(struct lane *l, uint32_t rank, struct waiting *w)
{
	GQueue *q = &l->waiting[rank];

	g_queue_push_nth(
	    q, w, (gint)admission_queue_index(q, w->req.target_ms));
	l->ranks |= UINT32_C(1) << rank;
	l->n_waiting++;
	l->n_by_priority[admission_rank_priority(rank)]++;
}

struct waiting *
admission_dequeue(struct lane *l, uint32_t rank, GList *link)
{
	struct waiting *w = link->data;

	g_queue_delete_link(&l->waiting[rank], link);
	if (l->waiting[rank].length == 0)
		l->ranks = admission_without_rank(l->ranks, rank);
	l->n_waiting--;
	l->n_by_priority[admission_rank_priority(rank)]--;
	return w;
}

uint32_t
admission_queued(const struct admission *a)
{
	return a->lanes[ADMISSION_LOOKUP].n_waiting +
	    a->lanes[ADMISSION_BOOKING].n_waiting;
}

uint32_t
admission_ranks(const struct admission *a)
{
	return a->lanes[ADMISSION_LOOKUP].ranks |
	    a->lanes[ADMISSION_BOOKING].ranks;
}

uint32_t
admission_first_rank(uint32_t ranks)
{
	return ranks == 0 ? RANKS : (uint32_t)__builtin_ctz(ranks);
}

uint32_t
admission_last_rank(uint32_t ranks)
{
	return ranks == 0 ? RANKS : 31 - (uint32_t)__builtin_clz(ranks);
}

uint32_t
admission_without_rank(uint32_t ranks, uint32_t rank)
{
	return ranks & ~(UINT32_C(1) << rank);
}

uint32_t
admission_ranks_ahead(uint32_t ranks, uint32_t rank)
{
	return ranks & ((UINT32_C(1) << rank) - 1);
}
