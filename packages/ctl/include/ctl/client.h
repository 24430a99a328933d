/*
 * Client of the administration API, by libcurl.
 *
 * The nodes are tried in order.  A request that changes something is never
 * sent to a second node once the first may have taken it.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

struct client;

/**
 * struct client_request - a request
 * @method: "GET", "POST" or "DELETE"
 * @path: path with query
 * @body: body, or NULL
 * @body_len: its length
 * @change: whether it changes something
 * @deadline_ms: monotonic time by which it ends
 */
struct client_request {
	const char *method;
	const char *path;
	const char *body;
	size_t body_len;
	int change;
	uint64_t deadline_ms;
};

/**
 * enum client_outcome - how a request ended
 * @CLIENT_RESPONDED: a node answered
 * @CLIENT_UNREACHABLE: no node could be reached; nothing was done
 * @CLIENT_NO_RESPONSE: a node may have taken it, but its answer didn't come
 */
enum client_outcome {
	CLIENT_RESPONDED = 0,
	CLIENT_UNREACHABLE,
	CLIENT_NO_RESPONSE,
};

/**
 * struct client_response - an answer
 * @outcome: how the request ended
 * @code: HTTP status, 0 unless CLIENT_RESPONDED
 * @json: the answer; made up in the API's form when none came
 */
struct client_response {
	enum client_outcome outcome;
	long code;
	json_t *json;
};

/**
 * client_new() - make a client
 * @nodes: struct net_addr of the nodes; must outlive the client
 */
struct client *client_new(const GArray *nodes);

/** client_free() - free a client; NULL is allowed */
void client_free(struct client *c);

/**
 * client_request() - send a request and wait for its answer
 * @c: the client
 * @req: the request
 * @resp: where the answer goes; free with client_response_clear()
 */
void client_request(struct client *c, const struct client_request *req,
    struct client_response *resp);

/** client_response_ok() - whether an answer says that all went well */
int client_response_ok(const struct client_response *resp);

/** client_response_kind() - kind of the error in an answer; "" when it has none
 */
const char *client_response_kind(const struct client_response *resp);

/** client_response_clear() - free what an answer holds */
void client_response_clear(struct client_response *resp);

#endif
