/*
 * Bound on the memory that peers make the users of a pool hold.
 */
#include <inttypes.h>
#include <malloc.h>

#define LOG_PART "net"
#include "base/log.h"
#include "base/metrics.h"
#include "net/buffer_pool.h"

/* A holder with less is not evicted: the number of descriptors bounds the sum
 * of such holders. */
#define EVICTED_MIN_BYTES 4096
/* Freed memory is given back to the system once the holders have fallen from
 * this part of the bound to half of what they held. */
#define TRIM_DIVISOR 4
#define TRIM_INTERVAL_MS 1000

static struct metric evicted = {"bramley_buffers_evicted_total",
    "Connections and requests that were ended because buffers were full.",
    METRIC_COUNTER, NULL, 0, {0}};

/**
 * struct buffer_pool - a pool
 * @loop: event loop
 * @name: what its holders are
 * @max_bytes: the bound
 * @bytes: what all holders hold
 * @peak_bytes: highest value of @bytes since memory was given back
 * @evictable: holders that may be evicted, the one that waits for longest at
 *	the head
 * @lines: rate limit of log lines on evictions
 * @trim: gives memory back
 * @evicting: holders are being evicted
 */
struct buffer_pool {
	struct loop *loop;
	const char *name;
	uint64_t max_bytes;
	uint64_t bytes;
	uint64_t peak_bytes;
	GQueue evictable;
	struct log_limit lines;
	struct loop_timer trim;
	bool evicting;
};

static bool
is_trim_due(const struct buffer_pool *p)
{
	return p->peak_bytes > p->max_bytes / TRIM_DIVISOR &&
	    p->bytes < p->peak_bytes / 2;
}

/* The allocator keeps freed memory that lies between blocks in use. */
static void
on_trim(void *arg)
{
	struct buffer_pool *p = arg;

	p->peak_bytes = p->bytes;
	(void)malloc_trim(0);
}

struct buffer_pool *
buffer_pool_new(struct loop *loop, const char *name, uint64_t max_bytes)
{
	struct buffer_pool *p = g_new0(struct buffer_pool, 1);

	metric_register(&evicted);
	p->loop = loop;
	p->name = name;
	p->max_bytes = max_bytes;
	p->lines.per_s = 1;
	p->lines.burst = 1;
	g_queue_init(&p->evictable);
	loop_timer_init(&p->trim, loop, on_trim, p);
	return p;
}

void
buffer_pool_free(struct buffer_pool *p)
{
	if (p == NULL)
		return;
	loop_timer_stop(&p->trim);
	g_free(p);
}

void
buffer_pool_set_max(struct buffer_pool *p, uint64_t max_bytes)
{
	p->max_bytes = max_bytes;
}

bool
buffer_pool_is_full(const struct buffer_pool *p)
{
	return p->bytes > p->max_bytes;
}

uint64_t
buffer_pool_bytes(const struct buffer_pool *p)
{
	return p->bytes;
}

void
buffer_holder_init(struct buffer_holder *h, const struct buffer_holder_ops *ops,
    struct buffer_pool *p)
{
	*h = (struct buffer_holder){.ops = ops, .pool = p, .link.data = h};
}

static void
dequeue(struct buffer_holder *h)
{
	if (h->queued)
		g_queue_unlink(&h->pool->evictable, &h->link);
	h->queued = false;
}

static void
enqueue(struct buffer_holder *h)
{
	if (h->queued)
		return;
	h->queued = true;
	h->since_ms = loop_now_ms(h->pool->loop);
	g_queue_push_tail_link(&h->pool->evictable, &h->link);
}

/* The holder that waits for longest, other than @not. */
static struct buffer_holder *
oldest(const struct buffer_pool *p, const struct buffer_holder * not )
{
	struct buffer_holder *h;
	GList *l;

	for (l = p->evictable.head; l != NULL; l = l->next) {
		h = l->data;
		if (h != not &&h->bytes >= EVICTED_MIN_BYTES)
			return h;
	}
	return NULL;
}

static void
evict(struct buffer_holder *h)
{
	struct buffer_pool *p = h->pool;
	uint64_t now_ms = loop_now_ms(p->loop);
	uint32_t left_out = p->lines.left_out;

	metric_add(&evicted, 1);
	if (log_limit_take(&p->lines, now_ms))
		log_warning("One of the %s is ended, since all hold %" PRIu64
			    " of %" PRIu64 " bytes: it held %" PRIu64
			    " and waited for its peer for %" PRIu64
			    " ms, left_out=%u",
		    p->name, p->bytes, p->max_bytes, h->bytes,
		    now_ms - h->since_ms, left_out);
	dequeue(h);
	h->ops->evict(h);
}

static void
make_room(struct buffer_pool *p, const struct buffer_holder * not )
{
	struct buffer_holder *h;

	if (p->evicting)
		return;
	p->evicting = true;
	while (p->bytes > p->max_bytes && (h = oldest(p, not )) != NULL)
		evict(h);
	p->evicting = false;
}

static void
update_trim(struct buffer_pool *p)
{
	p->peak_bytes = MAX(p->peak_bytes, p->bytes);
	if (is_trim_due(p) && p->trim.deadline_ms == DEADLINE_NEVER)
		loop_timer_set(
		    &p->trim, loop_now_ms(p->loop) + TRIM_INTERVAL_MS);
}

void
buffer_holder_set(struct buffer_holder *h, uint64_t bytes, bool evictable)
{
	struct buffer_pool *p = h->pool;

	if (p == NULL)
		return;
	p->bytes = p->bytes - h->bytes + bytes;
	h->bytes = bytes;
	if (evictable && bytes > 0)
		enqueue(h);
	else
		dequeue(h);
	make_room(p, h);
	update_trim(p);
}
