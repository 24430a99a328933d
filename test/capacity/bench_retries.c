/*
 * Benchmark of retries in nested calls: the number of calls and the share of
 * successful ones, with the retry budget of package traffic at each layer.
 *
 * In a chain of layers the last one fails a share of its calls.  Each layer
 * that sees a failure may retry its call to the next one.  Calls are counted
 * and no time is measured.  Three policies: each layer retries without a
 * budget, each layer retries within its budget, or only the layer next to the
 * failure retries.  The last is the policy of entries: a failed response of an
 * upstream is returned to the caller and is not retried.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "traffic/retry.h"

#define LAYERS_MAX 23
#define CALLS 20000
/* Total calls of a chain after which the run is aborted. */
#define TOTAL_CALLS_MAX 50000000
#define CALLS_PER_MS 1
#define PERCENT 100

/** enum policy - which layers retry */
enum policy {
	POLICY_EACH = 0,
	POLICY_EACH_BUDGET,
	POLICY_LAST_BUDGET,
	POLICY_COUNT,
};

/**
 * struct chain - chain of layers
 * @layers: number of layers
 * @policy: which layers retry
 * @percent: share of the last layer's calls that fail
 * @budgets: retry budget of each layer
 * @calls: calls that reached each layer
 * @total_calls: calls of all layers
 * @now_ms: virtual time, which advances with the calls from outside
 * @rand: selects the calls that fail
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

/* Makes one attempt at the upstream of a layer. */
static int
attempt(struct chain *c, uint32_t layer)
{
	c->calls[layer]++;
	c->total_calls++;
	if (layer + 1 == c->layers)
		return g_rand_int(c->rand) % PERCENT >= c->percent;
	return call_layer(c, layer + 1);
}

/* Makes a call in the same way as the entry of a layer. */
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
	printf("%2u layers, %3u %% of the last layer's calls fail, %-21s: per "
	       "call %10.2f calls of "
	       "the last layer and %10.2f of all, %5.1f %% successful%s\n",
	    layers, percent, names[policy],
	    (double)c.calls[layers - 1] / (double)i,
	    (double)c.total_calls / (double)i, 100.0 * (double)n_ok / (double)i,
	    c.total_calls > TOTAL_CALLS_MAX ? " (aborted)" : "");
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
