/*
 * A small HTTP server for tests: it runs in the test's loop, keeps
 * connections alive and misbehaves as its script says.
 */
#ifndef TEST_HTTP_FAKE_H
#define TEST_HTTP_FAKE_H

#include <glib.h>

#include "net/loop.h"
#include "proto/addr.h"

/**
 * struct fake_request - a request that came in whole
 * @path: its path
 * @head: request line and headers
 * @body: its body, without chunk headers
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
 * fake_script_fn - answer a request
 * @r: the request
 * @out: bytes to be sent
 *
 * Return: whether to close after @out was sent.
 */
typedef bool fake_script_fn(const struct fake_request *r, GString *out);

struct fake;

/** fake_new() - start a server on a free port of the loopback address */
struct fake *fake_new(struct loop *loop, fake_script_fn *script);

/** fake_free() - close its connections and stop */
void fake_free(struct fake *f);

/** fake_addr() - where it listens */
struct net_addr fake_addr(const struct fake *f);

/** fake_open() - number of connections that are open */
uint32_t fake_open(const struct fake *f);

/** fake_most_open() - largest number of connections open at a time */
uint32_t fake_most_open(const struct fake *f);

#endif
