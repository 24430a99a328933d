/*
 * Fake node: an HTTP server that plays scripted responses of the
 * administration API.
 */
#ifndef CTL_TEST_FAKE_NODE_H
#define CTL_TEST_FAKE_NODE_H

#include <glib.h>

struct fake_node;

/* Code of a response that is delayed by FAKE_DELAY_MS. */
#define FAKE_DELAYED(code) (-(code))
#define FAKE_DELAY_MS 2000

/**
 * struct fake_response - one response of a script
 * @request: method and path prefix of the requests that the response
 *	applies to
 * @code: HTTP status, or FAKE_DELAYED() of one; 0 closes the connection without
 *	a response
 * @body: body of the response
 */
struct fake_response {
	const char *request;
	int code;
	const char *body;
};

/** fake_node_new() - start a fake node on a free port of 127.0.0.1 */
struct fake_node *fake_node_new(void);

/**
 * fake_node_set_script() - set the script and clear the recorded requests,
 * once all earlier requests have ended
 * @f: the fake node
 * @script: responses, terminated by an entry without a request.  Each is sent
 *	once, in order; the last match for a request is then repeated.
 */
void
fake_node_set_script(struct fake_node *f, const struct fake_response *script);

/** fake_node_free() - stop a fake node; NULL is allowed */
void fake_node_free(struct fake_node *f);

/** fake_node_address() - "ip:port" of a fake node */
const char *fake_node_address(const struct fake_node *f);

/**
 * fake_node_requests() - requests received so far, one per line, with body
 *
 * Return: a string; free with g_free().
 */
char *fake_node_requests(struct fake_node *f);

#endif
