/*
 * Whether callers get through to the traffic thread.
 */
#include "node/traffic_health.h"

#define REPORT_INTERVAL_MS 250
/* Time without a turn, or without accepting, after which callers that connect
 * are sent elsewhere. */
#define BAD_AFTER_MS 1000

static void
report(void *arg)
{
	struct traffic_health *h = arg;
	uint64_t now_ms = loop_now_ms(h->loop);

	if (h->closed_since != NULL)
		atomic_store(&h->closed_since_ms, h->closed_since(h->arg));
	atomic_store(&h->turned_ms, now_ms);
	loop_timer_set(&h->timer, now_ms + REPORT_INTERVAL_MS);
}

void
traffic_health_start(struct traffic_health *h, struct loop *loop)
{
	h->loop = loop;
	loop_timer_init(&h->timer, loop, report, h);
	loop_timer_set(&h->timer, loop_now_ms(loop));
}

void
traffic_health_stop(struct traffic_health *h)
{
	if (h->loop != NULL)
		loop_timer_stop(&h->timer);
}

void
traffic_health_watch(
    struct traffic_health *h, uint64_t (*closed_since)(void *arg), void *arg)
{
	h->closed_since = closed_since;
	h->arg = arg;
}

bool
traffic_health_is_good(const struct traffic_health *h, uint64_t now_ms)
{
	uint64_t turned_ms = atomic_load(&h->turned_ms);
	uint64_t closed_ms = atomic_load(&h->closed_since_ms);

	if (turned_ms == 0 || now_ms >= turned_ms + BAD_AFTER_MS)
		return false;
	return closed_ms == 0 || now_ms < closed_ms + BAD_AFTER_MS;
}
