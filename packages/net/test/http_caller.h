/*
 * The owner of HTTP calls, for tests, and the server that answers them.
 */
#ifndef TEST_HTTP_CALLER_H
#define TEST_HTTP_CALLER_H

#include <glib.h>

#include "http_fake.h"
#include "net/http.h"
#include "support.h"

#define BODY "answer"
#define BIG_BYTES (4U << 20)

/**
 * struct caller - what an owner has been told, and how it behaves
 * @call: the call, NULL when it is done
 * @heads: calls of on_head()
 * @done: calls of on_done()
 * @code: code of the head
 * @status: from the result
 * @sent: from the result
 * @delimited: from the result
 * @head: headers as "name=value;"
 * @body: body of the answer
 * @pulled: bytes that on_pull() has given
 * @pull_bytes: bytes that it gives in all
 * @cancel_on_head: cancel from within on_head()
 * @cancel_on_body: cancel from within on_body()
 * @cancel_on_pull: cancel from within on_pull()
 * @abort_on_body: abort from within on_body()
 * @pausing: whether the last piece was paused
 * @paused: whether it is paused now
 * @wake: resumes the call; pauses are made when it was prepared
 */
struct caller {
	struct http_call *call;
	int heads;
	int done;
	int code;
	enum status status;
	bool sent;
	bool delimited;
	GString *head;
	GString *body;
	size_t pulled;
	size_t pull_bytes;
	int skip_heads;
	bool cancel_on_head;
	bool cancel_on_body;
	bool cancel_on_pull;
	bool abort_on_body;
	bool pausing;
	bool paused;
	struct loop_timer wake;
};

/**
 * struct scripted - an answer of the server
 * @path: path that is answered so
 * @bytes: what is sent
 * @close: whether the connection is closed then
 * @status: what the owner is to be told
 * @code: code that it is to be told
 * @body: body that it is to be given
 */
struct scripted {
	const char *path;
	const char *bytes;
	bool close;
	enum status status;
	int code;
	const char *body;
};

#define N_SCRIPTED 13

extern const struct scripted scripted[N_SCRIPTED];
extern struct loop *loop;
extern struct fake *fake;
extern struct http_client *client;
extern struct caller caller;
extern const struct http_handler caller_handler;
/* How often "/run" was run: the first time there is no answer. */
extern int runs;
/* Head of the last request. */
extern char *seen_head;

/** caller_setup() - a loop, a server, a client and `caller` */
void caller_setup(void);

/** caller_teardown() - free all of it */
void caller_teardown(void);

/** caller_init() - prepare an owner */
void caller_init(struct caller *c);

/** caller_clear() - free what an owner holds */
void caller_clear(struct caller *c);

/** caller_start() - start a call to a path of the server */
void caller_start(struct caller *c, struct http_request *r, const char *path);

/** caller_get() - GET a path by `caller` and wait until it is done */
void caller_get(const char *path);

/** caller_make_pauses() - pause each piece of a body once */
void caller_make_pauses(struct caller *c);

#endif
