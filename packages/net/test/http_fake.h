/*
 * A small HTTP server for tests: runs in the test's loop, keeps connections
 * alive, and sends the bytes that its script function returns, including
 * invalid answers.
 */
#ifndef TEST_HTTP_FAKE_H
#define TEST_HTTP_FAKE_H

#include <glib.h>

#include "net/loop.h"
#include "proto/addr.h"

/**
 * struct fake_request - a complete request
 * @path: path of the request
 * @head: request line and headers
 * @body: body, with the chunked coding removed
 * @body_bytes: length of @body
 * @nth: number of the request on its connection, from 1
 */
struct fake_request {
	const char *path;
	const char *head;
	const char *body;
	size_t body_bytes;
	int nth;
};

/**
 * fake_script_fn - produce the answer to a request
 * @r: the request
 * @out: receives the bytes to send
 *
 * Return: whether to close the connection after @out was sent.
 */
typedef bool fake_script_fn(const struct fake_request *r, GString *out);

struct fake;

/** fake_new() - start a server on a free port of the loopback address */
struct fake *fake_new(struct loop *loop, fake_script_fn *script);

/** fake_free() - close all connections and free the server */
void fake_free(struct fake *f);

/** fake_addr() - address that the server listens on */
struct net_addr fake_addr(const struct fake *f);

/** fake_open() - number of open connections */
uint32_t fake_open(const struct fake *f);

/** fake_most_open() - maximum number of concurrent connections so far */
uint32_t fake_most_open(const struct fake *f);

#endif
