/*
 * Incremental construction of bundles.
 */
#include "config/bundle_build.h"

#include "bundle_read.h"

/**
 * struct bundle_build - a bundle under construction
 * @p: problems found so far
 * @r: reader with the services and routes added so far
 * @n_services: services added so far, including rejected ones
 * @n_routes: routes added so far, including rejected ones
 * @n_customers: customers added so far, including rejected ones
 */
struct bundle_build {
	struct problems p;
	struct bundle_reader r;
	uint32_t n_services;
	uint32_t n_routes;
	uint32_t n_customers;
};

struct bundle_build *
bundle_build_new(const char *name)
{
	struct bundle_build *b = g_new0(struct bundle_build, 1);

	problems_init(&b->p);
	bundle_reader_init(&b->r, &b->p);
	bundle_read_name(&b->r, name);
	return b;
}

void
bundle_build_free(struct bundle_build *b)
{
	if (b == NULL)
		return;
	bundle_reader_clear(&b->r);
	problems_clear(&b->p);
	g_free(b);
}

void
bundle_build_service(struct bundle_build *b, struct json_t *service)
{
	struct doc_path services_at = {NULL, "services", DOC_PATH_NO_INDEX};
	struct doc_path at = {&services_at, NULL, b->n_services++};

	/* Services above the limit are counted for the message, but not
	 * read. */
	if (b->n_services <= CONFIG_MAX_SERVICES)
		bundle_read_service(&b->r, service, &at);
}

void
bundle_build_route(struct bundle_build *b, const struct bundle_route *route)
{
	struct doc_path routes_at = {NULL, "routes", DOC_PATH_NO_INDEX};
	struct doc_path at = {&routes_at, NULL, b->n_routes++};

	bundle_add_route(&b->r, route, &at);
}

void
bundle_build_customers(struct bundle_build *b)
{
	bundle_begin_customers(&b->r);
}

void
bundle_build_customer(
    struct bundle_build *b, const struct bundle_customer *customer)
{
	struct doc_path customers_at = {NULL, "customers", DOC_PATH_NO_INDEX};
	struct doc_path at = {&customers_at, NULL, b->n_customers++};

	bundle_begin_customers(&b->r);
	bundle_add_customer(&b->r, customer, &at);
}

enum status
bundle_build_end(struct bundle_build *b, struct bundle **bundle)
{
	struct doc_path services_at = {NULL, "services", DOC_PATH_NO_INDEX};

	(void)bundle_count_services(&b->r, b->n_services, &services_at);
	return bundle_reader_end(&b->r, STATUS_OK, bundle);
}
