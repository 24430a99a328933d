/*
 * Sections: canonical encoding, and decoding into a service.
 */
#include <string.h>

#include "parts.h"
#include "problems.h"
#include "rules.h"
#include "section_build.h"

/* Size of a service with its routes, customers, keys and texts. */
static size_t
config_size(const struct msg_section *m)
{
	size_t size;
	uint32_t i;

	size = sizeof(struct service_config);
	size += m->n_routes * sizeof(struct service_route);
	size += m->n_customers * sizeof(struct customer_config);
	for (i = 0; i < m->n_customers; i++)
		size += (size_t)m->customers[i].keys_len +
		    m->customers[i].name_len + 1;
	for (i = 0; i < m->n_routes; i++)
		size += (size_t)m->routes[i].prefix_len + 1 +
		    m->routes[i].host_len + 1;
	return size;
}

static void
config_set_numbers(struct service_config *sc, const struct msg_section *m)
{
	sc->timeout_ms = m->timeout_ms;
	sc->limits.slots_per_endpoint = m->slots_per_endpoint;
	sc->limits.queue_per_endpoint = m->queue_per_endpoint;
	sc->limits.queue_wait_ms = m->queue_wait_ms;
	sc->limits.caller_calls_per_s = m->caller_calls_per_s;
	sc->limits.request_max_bytes = m->request_max_bytes;
	sc->limits.head_max_bytes = m->head_max_bytes;
	sc->limits.head_ms = m->head_ms;
	sc->limits.idle_ms = m->idle_ms;
	sc->retry.attempts = m->attempts;
	sc->retry.budget_percent = m->budget_percent;
}

/* Copy a text into the space after the routes; Return: end of the copy. */
static char *
config_set_text(char *at, const char *text, uint32_t len, const char **out,
    uint32_t *out_len)
{
	if (len > 0)
		memcpy(at, text, len);
	at[len] = '\0';
	*out = at;
	*out_len = len;
	return at + len + 1;
}

static char *
config_set_route(struct service_route *route,
    const struct rec_section_route *from, char *text)
{
	route->methods = from->methods;
	route->idempotent = from->idempotent;
	route->below = from->below;
	route->weight = from->weight;
	route->timeout_ms = from->timeout_ms;
	route->target_ms = from->target_ms;
	route->priority = from->priority;
	route->attempts = from->attempts;
	route->keyless = from->keyless;
	text = config_set_text(text, from->prefix, from->prefix_len,
	    &route->prefix, &route->prefix_len);
	return config_set_text(
	    text, from->host, from->host_len, &route->host, &route->host_len);
}

/* Copies keys and name into the space after the customers; Return: end of the
 * copies. */
static char *
config_set_customer(struct customer_config *customer,
    const struct rec_section_customer *from, char *text)
{
	uint32_t len;

	customer->info.priority =
	    from->priority > 0 ? from->priority - 1 : CUSTOMER_PRIORITY_NONE;
	customer->info.rate_milli_per_s = from->rate_milli_per_s;
	customer->info.burst_milli = from->burst_milli;
	customer->keys = (const struct customer_key *)(const void *)text;
	customer->n_keys = from->keys_len / CUSTOMER_KEY_BYTES;
	if (from->keys_len > 0)
		memcpy(text, from->keys, from->keys_len);
	text = config_set_text(text + from->keys_len, from->name,
	    from->name_len, &customer->info.name, &len);
	customer->info.id = customer_id(customer->info.name);
	return text;
}

/* Customers lie after the routes, and the texts of both after them. */
static char *
config_set_customers(struct service_config *sc, const struct msg_section *m)
{
	char *text;
	uint32_t i;

	sc->holds_customers = strcmp(m->service, CUSTOMERS_SECTION) == 0;
	sc->customers =
	    (struct customer_config *)(void *)(sc->routes + m->n_routes);
	sc->n_customers = m->n_customers;
	text = (char *)(sc->customers + m->n_customers);
	for (i = 0; i < m->n_customers; i++)
		text = config_set_customer(
		    &sc->customers[i], &m->customers[i], text);
	return text;
}

static void
config_set_routes(struct service_config *sc, const struct msg_section *m)
{
	char *text;
	uint32_t i;

	sc->routes = (struct service_route *)(sc + 1);
	sc->n_routes = m->n_routes;
	text = config_set_customers(sc, m);
	for (i = 0; i < m->n_routes; i++)
		text = config_set_route(&sc->routes[i], &m->routes[i], text);
}

/* A single allocation, so that dropping the last reference is one g_free(). */
static struct service_config *
config_new(const struct msg_section *m, const struct digest *digest)
{
	struct service_config *sc;
	size_t size;

	size = config_size(m);
	sc = g_malloc0(size);
	atomic_init(&sc->refs, 1);
	sc->size_bytes = (uint32_t)size;
	sc->digest = *digest;
	g_strlcpy(sc->name, m->service, sizeof(sc->name));
	part_section_name(m->service, m->part, sc->section);
	config_set_numbers(sc, m);
	config_set_routes(sc, m);
	return sc;
}

static GBytes *
content_new(const struct msg_section *m, struct digest *digest)
{
	GByteArray *out;

	out = g_byte_array_new();
	msg_section_encode(m, out);
	hash_digest(out->data, out->len, digest);
	return g_byte_array_free_to_bytes(out);
}

struct section *
section_new(const struct msg_section *m)
{
	struct section *section;
	struct digest digest;

	section = g_new0(struct section, 1);
	section->content = content_new(m, &digest);
	section->config = config_new(m, &digest);
	return section;
}

void
section_free(void *data)
{
	struct section *section = data;

	if (section == NULL)
		return;
	service_config_unref(section->config);
	g_bytes_unref(section->content);
	g_free(section);
}

static enum status
check_rules(const struct msg_section *m)
{
	struct problems p;
	enum status st = STATUS_OK;
	char *summary;

	problems_init(&p);
	section_check(m, &p);
	part_check(m, &p);
	if (p.n_found > 0) {
		summary = problems_summary(p.list, p.n_found);
		st = status_set(STATUS_INVALID,
		    "A section breaks the rules: %s Take it from another node.",
		    summary);
		g_free(summary);
	}
	problems_clear(&p);
	return st;
}

/* Check a decoded message and build its service; rejects a content that differs
 * from the canonical encoding of the message. */
static enum status
check_and_build(const struct msg_section *m, const uint8_t *data, size_t len,
    struct service_config **config)
{
	struct digest digest;
	GBytes *content;
	enum status st;

	st = check_rules(m);
	if (st != STATUS_OK)
		return st;
	content = content_new(m, &digest);
	if (g_bytes_get_size(content) == len &&
	    memcmp(g_bytes_get_data(content, NULL), data, len) == 0)
		*config = config_new(m, &digest);
	else
		st = status_set(STATUS_INVALID,
		    "A section is not in canonical form; it was written by "
		    "another release or damaged. Take it from another node.");
	g_bytes_unref(content);
	return st;
}

enum status
section_decode(const uint8_t *data, size_t len, struct service_config **config)
{
	struct msg_section m;
	enum status st;

	*config = NULL;
	if (len > SECTION_DECODE_MAX_BYTES)
		return status_set(STATUS_TOO_LARGE,
		    "A section has %zu bytes, at most %u are taken; split the "
		    "service.",
		    len, SECTION_DECODE_MAX_BYTES);
	st = msg_section_decode(data, len, &m);
	if (st != STATUS_OK)
		return st;
	st = check_and_build(&m, data, len, config);
	msg_section_clear(&m);
	return st;
}
