/*
 * Dialect: names of the HTTP headers in which this system exchanges its own
 * data with callers and upstreams.
 */
#ifndef NODE_CALL_DIALECT_H
#define NODE_CALL_DIALECT_H

#include <stdbool.h>

#include "traffic/upstream_status.h"

/**
 * struct call_dialect - header names; NULL for a header that isn't used
 * @prefix: headers whose names begin with this prefix belong to this system:
 *	those that callers or upstreams send aren't forwarded, unless listed
 *	below
 * @from_callers: such headers that are forwarded to upstreams; ends with NULL
 * @from_upstreams: such headers that are forwarded to callers; ends with NULL
 * @request_id: id of a request
 * @caller_sets_request_id: callers choose the id, and upstreams' answers repeat
 *	it; otherwise the guard generates an id for each attempt
 * @call_separator: an upstream sends a call that it makes for a request under
 *	the request's id, this character and a part of its own; 0 if ids don't
 *	show which request a call serves
 * @key: Idempotency-Key is interpreted: all calls with one key are one request;
 *	otherwise it is forwarded as an ordinary header
 * @customer_key: from callers: key of the customer; never forwarded
 * @customer: sent to upstreams: name of the customer
 * @deadline: time left, in milliseconds, from callers and to upstreams
 * @caller_service: sent to upstreams: service of the host where a call entered
 * @target: sent to upstreams: instance that an attempt is for
 * @fate: sent to callers: outcome of the request, "done", "not_run" or
 *	"unknown"
 * @version: sent to callers: version of the configuration
 * @not_run: an upstream declares with this header that it has not run a
 *	request
 * @not_run_value: value of @not_run that declares it; NULL for any value
 * @signature: a successful answer without this header is not the upstream's
 *	own, unaltered answer
 * @load: an upstream's running and waiting requests, its slots and the pace of
 *	its machine
 * @parse_load: parses the value of @load, see upstream_status_parse()
 * @limits: names of the header with which an upstream limits the requests a
 *	second that it accepts from all callers; ends with NULL
 * @leaving: names of the header with which an upstream reports that it leaves,
 *	whatever the value; ends with NULL
 * @fractional_retry_after: Retry-After may hold a fraction of a second
 */
struct call_dialect {
	const char *prefix;
	const char *const *from_callers;
	const char *const *from_upstreams;
	const char *request_id;
	bool caller_sets_request_id;
	char call_separator;
	bool key;
	const char *customer_key;
	const char *customer;
	const char *deadline;
	const char *caller_service;
	const char *target;
	const char *fate;
	const char *version;
	const char *not_run;
	const char *not_run_value;
	const char *signature;
	const char *load;
	bool (*parse_load)(const char *text, struct upstream_status *s);
	const char *const *limits;
	const char *const *leaving;
	bool fractional_retry_after;
};

/** call_dialect_own - the product's own header names, docs/API.md */
extern const struct call_dialect call_dialect_own;

#endif
