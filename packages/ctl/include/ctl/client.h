/*
 * Client of the administration API, based on libcurl.
 *
 * Nodes are tried in order.  A request that changes state is not sent to a
 * second node if the first may have executed it.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

struct client;

/**
 * struct client_request - a request to the administration API
 * @method: "GET", "POST" or "DELETE"
 * @path: path and query string
 * @body: body, or NULL
 * @body_len: length of @body in bytes
 * @change: whether the request changes state
 * @deadline_ms: monotonic time at which the request times out
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
 * @CLIENT_RESPONDED: a node sent a response
 * @CLIENT_UNREACHABLE: no node could be reached; nothing was executed
 * @CLIENT_NO_RESPONSE: a node may have received the request, but no valid
 *	response arrived
 */
enum client_outcome {
	CLIENT_RESPONDED = 0,
	CLIENT_UNREACHABLE,
	CLIENT_NO_RESPONSE,
};

/**
 * struct client_response - response to a request
 * @outcome: how the request ended
 * @code: HTTP status, 0 unless CLIENT_RESPONDED
 * @json: body of the response; without one, an error object in the format of
 *	the API that the client generates
 */
struct client_response {
	enum client_outcome outcome;
	long code;
	json_t *json;
};

/**
 * client_new() - create a client
 * @nodes: array of struct net_addr of the nodes; must outlive the client
 */
struct client *client_new(const GArray *nodes);

/** client_free() - free a client; NULL is allowed */
void client_free(struct client *c);

/**
 * client_request() - send a request and wait for its response
 * @c: the client
 * @req: the request
 * @resp: set to the response; free with client_response_clear()
 */
void client_request(struct client *c, const struct client_request *req,
    struct client_response *resp);

/** client_response_ok() - whether a response has a 2xx status */
int client_response_ok(const struct client_response *resp);

/** client_response_kind() - error kind of a response, "" if it has none */
const char *client_response_kind(const struct client_response *resp);

/** client_response_clear() - free the contents of a response */
void client_response_clear(struct client_response *resp);

#endif
