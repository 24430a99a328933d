/*
 * Bench of depth: what becomes of a call's tail and of its retries when calls
 * nest, with the retry budget of package traffic at each layer.
 *
 * A chain of layers; the last one fails a share of its calls.  Each layer
 * that sees a failure may call the next one again.  Nothing is timed: it
 * counts calls.  Three policies: each layer retries twice without a budget,
 * each layer retries within its budget, only the layer next to the failure
 * does (what entries do here: a failed answer of an upstream is given to the
 * caller, and is no reason to call it again).
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "traffic/retry.h"

#define LAYERS_MAX 23
#define CALLS 20000
/* Calls of a chain after which the unbounded policy is not gone on with. */
#define TOTAL_CALLS_MAX 50000000
#define CALLS_PER_MS 1
#define PERCENT 100

/** enum policy - who retries */
enum policy {
	POLICY_EACH = 0,
	POLICY_EACH_BUDGET,
	POLICY_LAST_BUDGET,
	POLICY_COUNT,
};

/**
 * struct chain - nested layers
 * @layers: how many
 * @policy: who retries
 * @percent: calls of the last layer that fail
 * @budgets: of each layer
 * @calls: calls that reached each layer
 * @total_calls: calls of all layers
 * @now_ms: time, which passes with the calls from outside
 * @rand: which calls fail
 */
struct chain {
	uint32_t layers;
	enum policy policy;
	uint32_t percent;
	struct retry_budget budgets[LAYERS_MAX];
	uint64_t calls[LAYERS_MAX];
	uint64_t total_calls;
	uint64_t now_ms;
	GRand *rand;
};

static int
may_retry(struct chain *c, uint32_t layer)
{
	if (c->total_calls > TOTAL_CALLS_MAX)
		return 0;
	if (c->policy == POLICY_EACH)
		return 1;
	if (c->policy == POLICY_LAST_BUDGET && layer + 1 < c->layers)
		return 0;
	return retry_budget_take(&c->budgets[layer], c->now_ms);
}

static int call_layer(struct chain *c, uint32_t layer);

/* One attempt: what the upstream of a layer does. */
static int
attempt(struct chain *c, uint32_t layer)
{
	c->calls[layer]++;
	c->total_calls++;
	if (layer + 1 == c->layers)
		return g_rand_int(c->rand) % PERCENT >= c->percent;
	return call_layer(c, layer + 1);
}

/* A call as the entry of a layer makes it. */
static int
call_layer(struct chain *c, uint32_t layer)
{
	int ok;

	retry_budget_call(&c->budgets[layer], c->now_ms);
	ok = attempt(c, layer);
	if (!ok && c->budgets[layer].cfg.attempts > 1 && may_retry(c, layer))
		ok = attempt(c, layer);
	if (ok)
		retry_budget_success(&c->budgets[layer]);
	return ok;
}

static void
run(uint32_t layers, enum policy policy, uint32_t percent)
{
	static const char *const names[] = {
	    "each layer, no budget", "each layer, budget", "one layer, budget"};
	struct chain c = {
	    .layers = layers, .policy = policy, .percent = percent};
	struct retry_config cfg;
	uint64_t i, n_ok = 0;

	retry_config_default(&cfg);
	c.rand = g_rand_new_with_seed(1);
	for (i = 0; i < layers; i++)
		retry_budget_init(&c.budgets[i], &cfg, 0);
	for (i = 0; i < CALLS && c.total_calls <= TOTAL_CALLS_MAX; i++) {
		c.now_ms = i / CALLS_PER_MS;
		n_ok += (uint64_t)call_layer(&c, 0);
	}
	printf("%2u layers, %3u %% of the last fail, %-21s: %10.2f calls of "
	       "the last and %10.2f of all for each, %5.1f %% good%s\n",
	    layers, percent, names[policy],
	    (double)c.calls[layers - 1] / (double)i,
	    (double)c.total_calls / (double)i, 100.0 * (double)n_ok / (double)i,
	    c.total_calls > TOTAL_CALLS_MAX ? " (broken off)" : "");
	g_rand_free(c.rand);
}

int
main(void)
{
	static const uint32_t layers[] = {1, 6, 12, 23};
	static const uint32_t percents[] = {1, 10, 50, 100};
	uint32_t i, k;
	int p;

	for (k = 0; k < G_N_ELEMENTS(percents); k++)
		for (i = 0; i < G_N_ELEMENTS(layers); i++)
			for (p = 0; p < POLICY_COUNT; p++)
				run(layers[i], (enum policy)p, percents[k]);
	return EXIT_SUCCESS;
}
