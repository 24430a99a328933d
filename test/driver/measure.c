/*
 * Measurement of convergence and traffic.
 */
#include "measure.h"

#include <string.h>

#include "proto/frame.h"

void
measure_init(struct measure *m)
{
	m->apply_ms = g_new0(uint32_t, MEASURE_MS_MAX + 1);
	m->n = 0;
	m->version_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	m->from = 0;
}

void
measure_clear(struct measure *m)
{
	g_free(m->apply_ms);
	g_array_unref(m->version_us);
}

void
measure_reset(struct measure *m, uint64_t from)
{
	memset(m->apply_ms, 0, sizeof(uint32_t) * (MEASURE_MS_MAX + 1));
	m->n = 0;
	m->from = from;
}

void
measure_applied(
    struct measure *m, uint64_t version, uint64_t now_us, uint64_t us)
{
	uint64_t ms;

	if (m->version_us->len <= version)
		g_array_set_size(m->version_us, (guint)version + 1);
	g_array_index(m->version_us, uint64_t, version) = now_us;
	if (version < m->from)
		return;
	ms = us / 1000;
	m->apply_ms[MIN(ms, MEASURE_MS_MAX)]++;
	m->n++;
}

uint32_t
measure_quantile_ms(const struct measure *m, double q)
{
	uint64_t seen, want;
	uint32_t ms;

	want = (uint64_t)(q * (double)m->n);
	seen = 0;
	for (ms = 0; ms < MEASURE_MS_MAX; ms++) {
		seen += m->apply_ms[ms];
		if (seen > want || (seen == m->n && seen > 0))
			break;
	}
	return ms;
}

enum measure_class
measure_class_of(uint8_t type)
{
	if (type < MSG_NOTICE)
		return MEASURE_MEMBERSHIP;
	if (type == MSG_NOTICE)
		return MEASURE_NOTICES;
	if (type <= MSG_SECTIONS)
		return MEASURE_PULLS;
	if (type <= MSG_FLOOR_ANSWER)
		return MEASURE_FLOORS;
	return MEASURE_PROGRESS;
}

const char *
measure_class_name(enum measure_class c)
{
	static const char *const names[MEASURE_CLASSES] = {"membership",
	    "notices", "pulls", "floors", "progress", "connections", "source"};

	return names[c];
}

uint64_t
measure_frame_bytes(uint64_t len)
{
	uint64_t segments;

	len += FRAME_HEADER_BYTES;
	segments = (len + TCP_SEGMENT_BYTES - 1) / TCP_SEGMENT_BYTES;
	return len + segments * TCP_HEADER_BYTES;
}

uint64_t
measure_datagram_bytes(uint64_t len)
{
	return len + 1 + UDP_HEADER_BYTES;
}
