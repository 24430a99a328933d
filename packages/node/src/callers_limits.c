/*
 * Limits for requests, from the settings and from the configuration in force.
 *
 * The service of a request is unknown until its head was read, so the widest
 * limits of all services apply, and those of the settings where no service sets
 * one.
 */
#include <string.h>

#include "config/snapshot.h"
#include "node/snapshot_ref.h"

#include "callers_priv.h"
#include "memory_limits.h"

/* Longest pause of a caller within a request. */
#define STALL_TIMEOUT_MS 10000U

static void
widen_limits(struct http_server_limits *l, const struct service_limits *limits)
{
	l->head_max_bytes = MAX(l->head_max_bytes, limits->head_max_bytes);
	l->head_ms = MAX(l->head_ms, limits->head_ms);
	l->idle_ms = MAX(l->idle_ms, limits->idle_ms);
}

void
callers_limits(const struct settings *s, struct http_server_limits *l)
{
	struct snapshot *snapshot = snapshot_ref_get();
	uint32_t i;

	memset(l, 0, sizeof(*l));
	for (i = 0; snapshot != NULL && i < snapshot->n_services; i++)
		widen_limits(l, &snapshot->services[i].config->limits);
	if (snapshot != NULL)
		snapshot_unref(snapshot);
	if (l->head_max_bytes == 0)
		l->head_max_bytes = s->header_max_bytes;
	if (l->idle_ms == 0)
		l->idle_ms = s->keep_alive_ms;
	l->stall_ms = STALL_TIMEOUT_MS;
	l->overlap_max = s->caller_pipeline_max;
	l->buffer_max_bytes = memory_limit_callers(s);
	l->use = DESCRIPTORS_CALLERS;
}

void
callers_on_snapshot(void *arg)
{
	struct callers *c = arg;
	struct http_server_limits limits;

	if (c->server == NULL)
		return;
	callers_limits(c->settings, &limits);
	http_server_limits_set(c->server, &limits);
}
