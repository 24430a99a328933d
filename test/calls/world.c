/*
 * Setup, callers, and dissemination of announcements.
 */
#include "world.h"

#include <math.h>
#include <string.h>

#include "entry.h"
#include "guard.h"

#define GOSSIP_DELAY_MIN_US (20 * US_PER_MS)
#define GOSSIP_DELAY_MAX_US (1000 * US_PER_MS)
#define SETTLE_US (8000 * US_PER_MS)
#define RETRIES_MAX 3
#define PERCENT 100

void
world_config_default(struct world_config *cfg)
{
	memset(cfg, 0, sizeof(*cfg));
	cfg->seed = 1;
	cfg->entries = 3;
	cfg->guards = 4;
	cfg->data_centres = 2;
	cfg->slots = 4;
	cfg->announced_slots = 4;
	cfg->connections = 40;
	cfg->service_us = 20 * US_PER_MS;
	cfg->delay_us = US_PER_MS;
	cfg->local_delay_us = US_PER_MS / 5;
	cfg->duration_ms = 6000;
	cfg->rate_per_s = 200;
	cfg->booking_percent = 50;
	cfg->deadline_ms = 1000;
	cfg->window_ms = 2000;
	endpoints_config_default(&cfg->endpoints);
	placement_config_default(&cfg->placement);
	ejection_config_default(&cfg->ejection);
	retry_config_default(&cfg->retry);
	admission_config_default(&cfg->admission);
	cfg->admission.slots = cfg->slots;
	cfg->admission.queue_max = 2 * cfg->slots;
	cfg->eject = true;
}

bool
world_random_percent(struct world *w, uint32_t percent)
{
	return percent > 0 &&
	    (uint32_t)g_rand_int_range(w->random, 0, PERCENT) < percent;
}

uint64_t
world_random_between(struct world *w, uint64_t low, uint64_t high)
{
	return low +
	    (uint64_t)(g_rand_double(w->random) * (double)(high - low + 1));
}

void
world_schedule_after(struct world *w, uint64_t after_us,
    void (*fn)(void *target, void *arg), void *target, void *arg)
{
	queue_at(w->queue, w->now_us + after_us, fn, target, arg);
}

struct client_call *
world_call(struct world *w, uint32_t number)
{
	return g_ptr_array_index(w->calls, number);
}

struct world *
world_new(const struct world_config *cfg)
{
	struct world *w;
	uint32_t i;

	w = g_new0(struct world, 1);
	w->cfg = *cfg;
	w->random = g_rand_new_with_seed((guint32)cfg->seed);
	w->queue = queue_new();
	w->calls = g_ptr_array_new_with_free_func(g_free);
	w->links = g_ptr_array_new_with_free_func(link_free);
	w->claims = g_hash_table_new(NULL, NULL);
	for (i = 0; i < cfg->guards; i++) {
		w->announced[i].version = 1;
		w->announced[i].incarnation = 1;
		w->announced[i].state = ENDPOINT_READY;
	}
	for (i = 0; i < cfg->guards; i++)
		w->guards[i] = guard_new(w, i);
	for (i = 0; i < cfg->entries; i++)
		w->entries[i] = entry_new(w, i);
	return w;
}

void
world_free(struct world *w)
{
	struct event e;
	uint32_t i;

	/* Run the remaining events, since handlers free their arguments. */
	while (queue_pop(w->queue, &e)) {
		w->now_us = e.at_us;
		e.fn(e.target, e.arg);
	}
	for (i = 0; i < w->cfg.guards; i++)
		guard_free(w->guards[i]);
	for (i = 0; i < w->cfg.entries; i++)
		entry_free(w->entries[i]);
	g_ptr_array_free(w->calls, TRUE);
	g_ptr_array_free(w->links, TRUE);
	g_hash_table_destroy(w->claims);
	queue_free(w->queue);
	g_rand_free(w->random);
	g_free(w);
}

/* Announcement of an endpoint in transit to one node. */
struct announcement {
	uint32_t endpoint;
	struct endpoint_announcement announcement;
};

static void
on_announcement_at_entry(void *target, void *arg)
{
	struct announcement *n = arg;

	entry_update_endpoint(target, n->endpoint, &n->announcement);
	g_free(n);
}

static void
on_announcement_at_guard(void *target, void *arg)
{
	struct announcement *n = arg;

	guard_update_endpoint(target, n->endpoint, &n->announcement);
	g_free(n);
}

static struct announcement *
announcement_new(const struct world *w, uint32_t endpoint)
{
	struct announcement *n;

	n = g_new(struct announcement, 1);
	n->endpoint = endpoint;
	n->announcement = w->announced[endpoint];
	return n;
}

void
world_announce(struct world *w, uint32_t guard, enum endpoint_state state)
{
	uint32_t i;

	w->announced[guard].version++;
	w->announced[guard].state = state;
	if (state == ENDPOINT_READY)
		w->announced[guard].incarnation++;
	for (i = 0; i < w->cfg.entries; i++)
		world_schedule_after(w,
		    world_random_between(
			w, GOSSIP_DELAY_MIN_US, GOSSIP_DELAY_MAX_US),
		    on_announcement_at_entry, w->entries[i],
		    announcement_new(w, guard));
	for (i = 0; i < w->cfg.guards; i++)
		world_schedule_after(w,
		    world_random_between(
			w, GOSSIP_DELAY_MIN_US, GOSSIP_DELAY_MAX_US),
		    on_announcement_at_guard, w->guards[i],
		    announcement_new(w, guard));
}

static void
on_call(void *target, void *arg)
{
	struct world *w = target;
	struct client_call *c = arg;

	entry_accept_call(w->entries[c->entry], c);
}

static void
on_disconnect(void *target, void *arg)
{
	struct world *w = target;
	struct client_call *c = arg;

	if (c->has_outcome)
		return;
	c->disconnected = true;
	entry_caller_disconnected(w->entries[c->entry], c->number);
}

static struct client_call *
add_call(struct world *w)
{
	struct client_call *c;

	c = g_new0(struct client_call, 1);
	c->number = w->calls->len;
	c->entry = (uint32_t)world_random_between(w, 0, w->cfg.entries - 1);
	c->answered_call = CALL_NONE;
	g_ptr_array_add(w->calls, c);
	return c;
}

/* The caller of a request with an idempotency key retries it through the next
 * entry. */
static void
retry_at_next_entry(
    struct world *w, const struct client_call *c, uint64_t after_us)
{
	struct client_call *retry;

	if (c->n_earlier >= RETRIES_MAX)
		return;
	retry = add_call(w);
	retry->booking = c->booking;
	retry->keyed = true;
	retry->key = c->key;
	retry->n_earlier = c->n_earlier + 1;
	retry->entry = (c->entry + 1) % w->cfg.entries;
	retry->sent_us = w->now_us + after_us;
	world_schedule_after(w, after_us, on_call, w, retry);
}

void
world_record_outcome(struct world *w, uint32_t number, enum outcome outcome,
    enum refusal refusal, uint32_t answered_call)
{
	struct client_call *c;

	c = world_call(w, number);
	if (c->disconnected)
		return;
	c->n_outcomes++;
	c->has_outcome = true;
	c->outcome_us = w->now_us;
	c->outcome = outcome;
	c->refusal = refusal;
	c->answered_call = outcome == OUTCOME_DONE ? answered_call : CALL_NONE;
	if (c->keyed && outcome != OUTCOME_DONE)
		retry_at_next_entry(
		    w, c, world_random_between(w, US_PER_MS, 800 * US_PER_MS));
}

static void
new_call(struct world *w)
{
	const struct world_config *cfg = &w->cfg;
	struct client_call *c;

	c = add_call(w);
	c->sent_us = w->now_us;
	c->booking = world_random_percent(w, cfg->booking_percent);
	c->large = world_random_percent(w, cfg->large_percent);
	if (c->booking && world_random_percent(w, cfg->keyed_percent)) {
		c->keyed = true;
		c->large = false;
		c->key = w->keys++;
		if (world_random_percent(w, 10))
			retry_at_next_entry(
			    w, c, world_random_between(w, 0, 50 * US_PER_MS));
	}
	if (world_random_percent(w, cfg->disconnect_percent))
		world_schedule_after(w,
		    world_random_between(w, 0, 100 * US_PER_MS), on_disconnect,
		    w, c);
	entry_accept_call(w->entries[c->entry], c);
}

static uint64_t
exponential_us(struct world *w, double per_s)
{
	return (uint64_t)(-log(1.0 - g_rand_double(w->random)) * 1e6 / per_s) +
	    1;
}

static void
on_next_call(void *target, void *arg)
{
	struct world *w = target;

	if (w->now_us > (uint64_t)w->cfg.duration_ms * US_PER_MS)
		return;
	new_call(w);
	world_schedule_after(
	    w, exponential_us(w, w->cfg.rate_per_s), on_next_call, w, arg);
}

static void
on_next_fault(void *target, void *arg)
{
	struct world *w = target;
	uint32_t fault;

	if (w->now_us > (uint64_t)w->cfg.duration_ms * US_PER_MS)
		return;
	do
		fault = (uint32_t)world_random_between(w, 0, FAULT_COUNT - 1);
	while ((w->cfg.fault_mask & (1U << fault)) == 0);
	world_inject_fault(w, (enum fault)fault);
	world_schedule_after(
	    w, exponential_us(w, w->cfg.faults_per_s), on_next_fault, w, arg);
}

void
world_run(struct world *w)
{
	uint64_t end_us = (uint64_t)w->cfg.duration_ms * US_PER_MS + SETTLE_US;
	struct event e;

	world_schedule_after(w, 1, on_next_call, w, NULL);
	if (w->cfg.fault_mask != 0 && w->cfg.faults_per_s > 0)
		world_schedule_after(w, exponential_us(w, w->cfg.faults_per_s),
		    on_next_fault, w, NULL);
	while (w->now_us < end_us && queue_pop(w->queue, &e)) {
		w->now_us = e.at_us;
		e.fn(e.target, e.arg);
	}
}
