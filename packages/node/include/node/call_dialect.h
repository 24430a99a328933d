/*
 * How callers and upstreams are spoken to: names of the headers that carry
 * what this system has to say beside the request itself.
 */
#ifndef NODE_CALL_DIALECT_H
#define NODE_CALL_DIALECT_H

#include <stdbool.h>

/**
 * struct call_dialect - names of headers; NULL for what isn't told
 * @prefix: headers with this beginning are the system's own: what callers or
 *	upstreams send under it stays here, unless it is in a list below
 * @from_callers: such headers that are passed to upstreams; ends with NULL
 * @from_upstreams: such headers that are passed to callers; ends with NULL
 * @request_id: name of a request
 * @caller_sets_request_id: callers choose it, and upstreams' answers repeat it;
 *	else the guard names each attempt
 * @key: Idempotency-Key is spoken: a key is one request; else it is an
 *	ordinary header
 * @deadline: time left, in milliseconds, from callers and to upstreams
 * @caller_service: told to upstreams: service of the host where a call began
 * @target: told to upstreams: instance that an attempt is for
 * @fate: told to callers: "done", "not_run" or "unknown"
 * @version: told to callers: version of the configuration
 * @not_run: an upstream says by it that it has not run a request
 * @not_run_value: the value that says so, NULL for any
 * @signature: a success without it is no answer of the upstream
 * @load: an upstream's running and waiting requests and its slots
 * @fractional_retry_after: Retry-After may hold a fraction of a second
 */
struct call_dialect {
	const char *prefix;
	const char *const *from_callers;
	const char *const *from_upstreams;
	const char *request_id;
	bool caller_sets_request_id;
	bool key;
	const char *deadline;
	const char *caller_service;
	const char *target;
	const char *fate;
	const char *version;
	const char *not_run;
	const char *not_run_value;
	const char *signature;
	const char *load;
	bool fractional_retry_after;
};

/** call_dialect_own - the product's own names, docs/API.md */
extern const struct call_dialect call_dialect_own;

#endif
