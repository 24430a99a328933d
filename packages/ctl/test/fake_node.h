/*
 * A fake node: answers the administration API from a script.
 */
#ifndef CTL_TEST_FAKE_NODE_H
#define CTL_TEST_FAKE_NODE_H

#include <glib.h>

struct fake_node;

/* Code of an answer that comes FAKE_DELAY_MS late. */
#define FAKE_DELAYED(code) (-(code))
#define FAKE_DELAY_MS 2000

/**
 * struct fake_response - one answer of a script
 * @request: method and start of the path with query that it is for
 * @code: HTTP status, or FAKE_DELAYED() of one; 0 closes the connection without
 *	an answer
 * @body: body
 */
struct fake_response {
	const char *request;
	int code;
	const char *body;
};

/** fake_node_new() - start a fake node on a free port of 127.0.0.1 */
struct fake_node *fake_node_new(void);

/**
 * fake_node_set_script() - take a script, and forget what came before
 * @f: the fake node
 * @script: answers, ended by one without request.  Each is given once and in
 *	order; the last one for a request is given from then on.
 */
void
fake_node_set_script(struct fake_node *f, const struct fake_response *script);

/** fake_node_free() - stop a fake node; NULL is allowed */
void fake_node_free(struct fake_node *f);

/** fake_node_address() - its "ip:port" */
const char *fake_node_address(const struct fake_node *f);

/**
 * fake_node_requests() - requests that came, one a line, with body
 *
 * Return: a text that the caller frees with g_free().
 */
char *fake_node_requests(struct fake_node *f);

#endif
