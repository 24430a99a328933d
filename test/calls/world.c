/*
 * Set-up, callers, and the spread of news.
 */
#include "world.h"

#include <math.h>
#include <string.h>

#include "entry.h"
#include "guard.h"

#define NEWS_LEAST_US (20 * US_PER_MS)
#define NEWS_MOST_US (1000 * US_PER_MS)
#define SETTLE_US (8000 * US_PER_MS)
#define REPEATS_MAX 3
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
world_chance(struct world *w, uint32_t percent)
{
	return percent > 0 &&
	    (uint32_t)g_rand_int_range(w->random, 0, PERCENT) < percent;
}

uint64_t
world_between(struct world *w, uint64_t low, uint64_t high)
{
	return low +
	    (uint64_t)(g_rand_double(w->random) * (double)(high - low + 1));
}

void
world_later(struct world *w, uint64_t after_us,
    void (*fire)(void *who, void *what), void *who, void *what)
{
	queue_at(w->queue, w->now_us + after_us, fire, who, what);
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
		w->truths[i].version = 1;
		w->truths[i].incarnation = 1;
		w->truths[i].state = ENDPOINT_READY;
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

	/* Let what is under way free itself. */
	while (queue_pop(w->queue, &e)) {
		w->now_us = e.at_us;
		e.fire(e.who, e.what);
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

/* News of an endpoint on its way to one node. */
struct news {
	uint32_t endpoint;
	struct endpoint_truth truth;
};

static void
reach_entry(void *who, void *what)
{
	struct news *n = what;

	entry_see(who, n->endpoint, &n->truth);
	g_free(n);
}

static void
reach_guard(void *who, void *what)
{
	struct news *n = what;

	guard_see(who, n->endpoint, &n->truth);
	g_free(n);
}

static struct news *
pack(const struct world *w, uint32_t endpoint)
{
	struct news *n;

	n = g_new(struct news, 1);
	n->endpoint = endpoint;
	n->truth = w->truths[endpoint];
	return n;
}

void
world_announce(struct world *w, uint32_t guard, enum endpoint_state state)
{
	uint32_t i;

	w->truths[guard].version++;
	w->truths[guard].state = state;
	if (state == ENDPOINT_READY)
		w->truths[guard].incarnation++;
	for (i = 0; i < w->cfg.entries; i++)
		world_later(w, world_between(w, NEWS_LEAST_US, NEWS_MOST_US),
		    reach_entry, w->entries[i], pack(w, guard));
	for (i = 0; i < w->cfg.guards; i++)
		world_later(w, world_between(w, NEWS_LEAST_US, NEWS_MOST_US),
		    reach_guard, w->guards[i], pack(w, guard));
}

static void
call_in(void *who, void *what)
{
	struct world *w = who;
	struct client_call *c = what;

	entry_take(w->entries[c->entry], c);
}

static void
hang_up(void *who, void *what)
{
	struct world *w = who;
	struct client_call *c = what;

	if (c->told)
		return;
	c->gone = true;
	entry_caller_gone(w->entries[c->entry], c->number);
}

static struct client_call *
add_call(struct world *w)
{
	struct client_call *c;

	c = g_new0(struct client_call, 1);
	c->number = w->calls->len;
	c->entry = (uint32_t)world_between(w, 0, w->cfg.entries - 1);
	c->of = CALL_NONE;
	g_ptr_array_add(w->calls, c);
	return c;
}

/* The caller of a keyed request sends it again through another entry. */
static void
repeat(struct world *w, const struct client_call *c, uint64_t after_us)
{
	struct client_call *again;

	if (c->repeats >= REPEATS_MAX)
		return;
	again = add_call(w);
	again->booking = c->booking;
	again->keyed = true;
	again->key = c->key;
	again->repeats = c->repeats + 1;
	again->entry = (c->entry + 1) % w->cfg.entries;
	again->born_us = w->now_us + after_us;
	world_later(w, after_us, call_in, w, again);
}

void
world_tell(struct world *w, uint32_t number, enum outcome outcome,
    enum refusal refusal, uint32_t of)
{
	struct client_call *c;

	c = world_call(w, number);
	if (c->gone)
		return;
	c->times_told++;
	c->told = true;
	c->told_us = w->now_us;
	c->outcome = outcome;
	c->refusal = refusal;
	c->of = outcome == OUTCOME_DONE ? of : CALL_NONE;
	if (c->keyed && outcome != OUTCOME_DONE)
		repeat(w, c, world_between(w, US_PER_MS, 800 * US_PER_MS));
}

static void
new_call(struct world *w)
{
	const struct world_config *cfg = &w->cfg;
	struct client_call *c;

	c = add_call(w);
	c->born_us = w->now_us;
	c->booking = world_chance(w, cfg->booking_percent);
	c->large = world_chance(w, cfg->large_percent);
	if (c->booking && world_chance(w, cfg->keyed_percent)) {
		c->keyed = true;
		c->large = false;
		c->key = w->keys++;
		if (world_chance(w, 10))
			repeat(w, c, world_between(w, 0, 50 * US_PER_MS));
	}
	if (world_chance(w, cfg->hang_up_percent))
		world_later(
		    w, world_between(w, 0, 100 * US_PER_MS), hang_up, w, c);
	entry_take(w->entries[c->entry], c);
}

static uint64_t
exponential_us(struct world *w, double per_s)
{
	return (uint64_t)(-log(1.0 - g_rand_double(w->random)) * 1e6 / per_s) +
	    1;
}

static void
next_call(void *who, void *what)
{
	struct world *w = who;

	if (w->now_us > (uint64_t)w->cfg.duration_ms * US_PER_MS)
		return;
	new_call(w);
	world_later(
	    w, exponential_us(w, w->cfg.rate_per_s), next_call, w, what);
}

static void
next_fault(void *who, void *what)
{
	struct world *w = who;
	uint32_t fault;

	if (w->now_us > (uint64_t)w->cfg.duration_ms * US_PER_MS)
		return;
	do
		fault = (uint32_t)world_between(w, 0, FAULTS - 1);
	while ((w->cfg.fault_mask & (1U << fault)) == 0);
	world_fault(w, (enum fault)fault);
	world_later(
	    w, exponential_us(w, w->cfg.faults_per_s), next_fault, w, what);
}

void
world_run(struct world *w)
{
	uint64_t end_us = (uint64_t)w->cfg.duration_ms * US_PER_MS + SETTLE_US;
	struct event e;

	world_later(w, 1, next_call, w, NULL);
	if (w->cfg.fault_mask != 0 && w->cfg.faults_per_s > 0)
		world_later(w, exponential_us(w, w->cfg.faults_per_s),
		    next_fault, w, NULL);
	while (w->now_us < end_us && queue_pop(w->queue, &e)) {
		w->now_us = e.at_us;
		e.fire(e.who, e.what);
	}
}
