/*
 * Descriptors of the process as a bounded resource.
 */
#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "base/metrics.h"
#include "net/descriptors.h"

/* Set aside for what is not counted: a quarter, within these bounds. */
#define OTHER_MIN 32
#define OTHER_MAX 256
#define OTHER_DIVISOR 4

#define IN_USE(use)                                                      \
	{                                                                \
		"bramley_descriptors_in_use",                            \
		    "Descriptors of connections, by what they are for.", \
		    METRIC_GAUGE, "use=\"" use "\"", 0,                  \
		{                                                        \
			0                                                \
		}                                                        \
	}
#define REFUSED(use)                                                         \
	{                                                                    \
		"bramley_descriptors_refused_total",                         \
		    "Times at which no descriptor was left, by what it was " \
		    "for.",                                                  \
		    METRIC_COUNTER, "use=\"" use "\"", 0,                    \
		{                                                            \
			0                                                    \
		}                                                            \
	}

/**
 * struct use_defs - constants and metrics of a use
 * @name: for logs
 * @divisor: the reserved number is the limit divided by this
 * @in_use: gauge
 * @refused: counter
 */
struct use_defs {
	const char *name;
	uint32_t divisor;
	struct metric in_use;
	struct metric refused;
};

#define USE(name, divisor)                                 \
	{                                                  \
		name, divisor, IN_USE(name), REFUSED(name) \
	}

static struct use_defs uses[DESCRIPTOR_USES] = {
    [DESCRIPTORS_UNCOUNTED] = USE("other", 0),
    [DESCRIPTORS_CALLERS] = USE("callers", 8),
    [DESCRIPTORS_CALLS] = USE("calls", 8),
    [DESCRIPTORS_PEERS] = USE("peers", 8),
    [DESCRIPTORS_UPSTREAMS] = USE("upstreams", 16),
    [DESCRIPTORS_STORE] = USE("store", 32),
    [DESCRIPTORS_ADMIN] = USE("admin", 32),
    [DESCRIPTORS_READINESS] = USE("readiness", 64),
};

static struct metric allowed = {"bramley_descriptors_allowed",
    "Descriptors that connections may have together.", METRIC_GAUGE, NULL, 0,
    {0}};

/* The thread sanitizer knows this lock, but not GMutex. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct descriptor_shares shares = {.shared_max = UINT32_MAX / 2};

/* Shares */

static uint32_t
total_of(uint32_t max)
{
	uint32_t other = CLAMP(max / OTHER_DIVISOR, OTHER_MIN, OTHER_MAX);

	return max > other ? max - other : 0;
}

void
descriptor_shares_init(struct descriptor_shares *s, uint32_t max)
{
	uint32_t total = total_of(max);
	int i;

	memset(s, 0, sizeof(*s));
	s->shared_max = total;
	for (i = DESCRIPTORS_UNCOUNTED + 1; i < DESCRIPTOR_USES; i++) {
		s->reserved[i] = total / uses[i].divisor;
		s->shared_max -= s->reserved[i];
	}
}

static uint32_t
shared_left(const struct descriptor_shares *s)
{
	uint32_t taken = 0;
	int i;

	for (i = DESCRIPTORS_UNCOUNTED + 1; i < DESCRIPTOR_USES; i++)
		if (s->used[i] > s->reserved[i])
			taken += s->used[i] - s->reserved[i];
	return s->shared_max > taken ? s->shared_max - taken : 0;
}

uint32_t
descriptor_shares_left(
    const struct descriptor_shares *s, enum descriptor_use use)
{
	uint32_t own = 0;

	if (use == DESCRIPTORS_UNCOUNTED)
		return UINT32_MAX / 2;
	if (s->used[use] < s->reserved[use])
		own = s->reserved[use] - s->used[use];
	return own + shared_left(s);
}

bool
descriptor_shares_take(struct descriptor_shares *s, enum descriptor_use use)
{
	if (descriptor_shares_left(s, use) == 0)
		return false;
	s->used[use]++;
	return true;
}

void
descriptor_shares_release(struct descriptor_shares *s, enum descriptor_use use)
{
	s->used[use]--;
}

/* The process */

void
descriptors_set_limit(uint32_t max)
{
	(void)pthread_mutex_lock(&lock);
	descriptor_shares_init(&shares, max);
	metric_set(&allowed, total_of(max));
	(void)pthread_mutex_unlock(&lock);
}

void
descriptors_register(void)
{
	int i;

	metric_register(&allowed);
	for (i = 0; i < DESCRIPTOR_USES; i++) {
		metric_register(&uses[i].in_use);
		metric_register(&uses[i].refused);
	}
}

const char *
descriptors_name(enum descriptor_use use)
{
	return uses[use].name;
}

bool
descriptors_take(enum descriptor_use use)
{
	bool taken;

	(void)pthread_mutex_lock(&lock);
	taken = descriptor_shares_take(&shares, use);
	(void)pthread_mutex_unlock(&lock);
	metric_add(taken ? &uses[use].in_use : &uses[use].refused, 1);
	return taken;
}

void
descriptors_release(enum descriptor_use use)
{
	(void)pthread_mutex_lock(&lock);
	descriptor_shares_release(&shares, use);
	(void)pthread_mutex_unlock(&lock);
	metric_add(&uses[use].in_use, -1);
}

uint32_t
descriptors_in_use(enum descriptor_use use)
{
	uint32_t n;

	(void)pthread_mutex_lock(&lock);
	n = shares.used[use];
	(void)pthread_mutex_unlock(&lock);
	return n;
}

uint32_t
descriptors_left(enum descriptor_use use)
{
	uint32_t n;

	(void)pthread_mutex_lock(&lock);
	n = descriptor_shares_left(&shares, use);
	(void)pthread_mutex_unlock(&lock);
	return n;
}
