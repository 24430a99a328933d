/*
 * Descriptors of the process, counted by what they are used for.
 */
#include "base/metrics.h"
#include "net/descriptors.h"

#define GAUGE(use)                                                            \
	{                                                                     \
		"bramley_descriptors_in_use",                                 \
		    "Open descriptors of connections, by what they are for.", \
		    METRIC_GAUGE, "use=\"" use "\"", 0,                       \
		{                                                             \
			0                                                     \
		}                                                             \
	}

static struct metric in_use[DESCRIPTOR_USES] = {
    [DESCRIPTORS_UNCOUNTED] = GAUGE("other"),
    [DESCRIPTORS_CALLERS] = GAUGE("callers"),
    [DESCRIPTORS_CALLS] = GAUGE("calls"),
    [DESCRIPTORS_PEERS] = GAUGE("peers"),
    [DESCRIPTORS_UPSTREAMS] = GAUGE("upstreams"),
    [DESCRIPTORS_STORE] = GAUGE("store"),
    [DESCRIPTORS_ADMIN] = GAUGE("admin"),
    [DESCRIPTORS_READINESS] = GAUGE("readiness"),
};

static const char *const names[DESCRIPTOR_USES] = {
    [DESCRIPTORS_UNCOUNTED] = "other",
    [DESCRIPTORS_CALLERS] = "callers",
    [DESCRIPTORS_CALLS] = "calls",
    [DESCRIPTORS_PEERS] = "peers",
    [DESCRIPTORS_UPSTREAMS] = "upstreams",
    [DESCRIPTORS_STORE] = "store",
    [DESCRIPTORS_ADMIN] = "admin",
    [DESCRIPTORS_READINESS] = "readiness",
};

const char *
descriptors_name(enum descriptor_use use)
{
	return names[use];
}

void
descriptors_register(void)
{
	int i;

	for (i = 0; i < DESCRIPTOR_USES; i++)
		metric_register(&in_use[i]);
}

void
descriptors_opened(enum descriptor_use use)
{
	metric_add(&in_use[use], 1);
}

void
descriptors_closed(enum descriptor_use use)
{
	metric_add(&in_use[use], -1);
}

uint32_t
descriptors_in_use(enum descriptor_use use)
{
	return (uint32_t)atomic_load(&in_use[use].value);
}
