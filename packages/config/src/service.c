/*
 * Services: names of methods and reference counting.
 */
#include <string.h>

#include <glib.h>

#include "config/service.h"

static const char *const method_names[METHOD_COUNT] = {
    [METHOD_GET] = "GET",
    [METHOD_HEAD] = "HEAD",
    [METHOD_POST] = "POST",
    [METHOD_PUT] = "PUT",
    [METHOD_PATCH] = "PATCH",
    [METHOD_DELETE] = "DELETE",
    [METHOD_OPTIONS] = "OPTIONS",
};

enum http_method
method_parse(const char *name, size_t len)
{
	unsigned int m;

	for (m = 0; m < METHOD_COUNT; m++) {
		if (strlen(method_names[m]) == len &&
		    memcmp(method_names[m], name, len) == 0)
			break;
	}
	return (enum http_method)m;
}

const char *
method_name(enum http_method m)
{
	return (unsigned int)m < METHOD_COUNT ? method_names[m] : "others";
}

struct service_config *
service_config_ref(struct service_config *sc)
{
	atomic_fetch_add_explicit(&sc->refs, 1, memory_order_relaxed);
	return sc;
}

void
service_config_unref(struct service_config *sc)
{
	if (sc == NULL ||
	    atomic_fetch_sub_explicit(&sc->refs, 1, memory_order_acq_rel) != 1)
		return;
	/* Routes and their texts are part of the same allocation. */
	g_free(sc);
}
