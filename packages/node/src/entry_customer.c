/*
 * The customer on whose behalf a request is made, by the version that routes
 * the request.
 */
#include <string.h>

#include "call_metrics.h"
#include "entry_log.h"

#define HTTP_UNAUTHORIZED 401
#define HTTP_UNAVAILABLE 503

static const char *const messages[KEY_FAULTS] = {
    "the request has no customer key; send one.",
    "no customer holds the request's key; send a valid one.",
    "the request has several customer keys; send one.",
};

bool
entry_customer_find(const struct entry *e, const struct call_request *r,
    const struct service_route *route, const struct customer **customer)
{
	const struct customer_table *table = e->snapshot->customers;

	*customer = NULL;
	if (table == NULL)
		return true;
	if (r->customer_keys == 1)
		*customer = customer_table_find_key(table, &r->customer_key);
	return *customer != NULL || route->keyless;
}

void
entry_customer_count(struct entry *e, const struct customer *customer)
{
	if (customer != NULL)
		quota_usage_request(
		    e->usage, customer->id, loop_now_ms(e->loop));
}

static enum key_fault
fault_of(const struct call_request *r)
{
	if (r->customer_keys == 0)
		return KEY_MISSING;
	return r->customer_keys == 1 ? KEY_UNKNOWN : KEY_SEVERAL;
}

void
entry_customer_refuse(struct entry *e, struct call_exchange *x)
{
	const struct call_request *r = call_exchange_request(x);
	enum key_fault fault = fault_of(r);

	if (entry_behind_refuse(e, x, HTTP_UNAUTHORIZED))
		return;
	call_metrics_unauthorized(fault);
	entry_log_unauthorized(e, r, fault);
	entry_answer_refuse(
	    x, HTTP_UNAUTHORIZED, "unauthorized", messages[fault]);
}

void
entry_set_confirmed(struct entry *e, uint64_t confirmed_ms)
{
	atomic_store(&e->confirmed_ms, confirmed_ms);
}

bool
entry_customer_is_confirmed(
    const struct entry *e, const struct service_route *route)
{
	uint32_t within_ms = e->settings->revoke_confirm_ms;

	if (within_ms == 0 || e->snapshot->customers == NULL || route->keyless)
		return true;
	return loop_now_ms(e->loop) < atomic_load(&e->confirmed_ms) + within_ms;
}

void
entry_customer_unconfirmed(struct entry *e, struct call_exchange *x)
{
	metric_add(&metric_unconfirmed, 1);
	entry_log_refused(
	    e, call_exchange_request(x), HTTP_UNAVAILABLE, "unconfirmed");
	entry_answer_unconfirmed(x);
}

/* The caller's own header of this name was not copied. */
bool
entry_customer_name(const struct entry *e, const struct customer *customer,
    struct call_request *r)
{
	const char *header = e->dialect->customer;

	if (customer == NULL || header == NULL)
		return true;
	return call_headers_add(&r->headers, header, (uint32_t)strlen(header),
	    customer->name, (uint32_t)strlen(customer->name));
}
