/*
 * Test fixture of the HTTP client: an owner of calls that records its
 * callbacks, and a scripted server.
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
 * struct caller - recorded callbacks of a call, and behaviour of the owner
 * @call: the call, NULL when it has ended
 * @heads: number of on_head() callbacks, except skipped ones
 * @done: number of on_done() callbacks
 * @code: status code of the head
 * @status: from the result
 * @sent: from the result
 * @delimited: from the result
 * @head: headers as "name=value;"
 * @body: body of the answer
 * @pulled: bytes that on_pull() has supplied
 * @pull_bytes: total bytes for on_pull() to supply
 * @skip_heads: number of heads to skip with HTTP_SKIP
 * @cancel_on_head: cancel from within on_head()
 * @cancel_on_body: cancel from within on_body()
 * @cancel_on_pull: cancel from within on_pull()
 * @abort_on_body: abort from within on_body()
 * @pausing: whether the last callback returned HTTP_PAUSE
 * @paused: whether the call is paused now
 * @wake: timer that resumes the call; if it is initialised, every other
 *	callback pauses
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
 * struct scripted - an answer of the server and the expected result
 * @path: path of the request
 * @bytes: bytes that the server sends
 * @close: whether the server closes the connection afterwards
 * @status: expected status of the result
 * @code: expected HTTP status code
 * @body: expected body
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
/* Number of requests for "/run"; the first request gets no answer. */
extern int runs;
/* Head of the last request. */
extern char *seen_head;

/** caller_setup() - create a loop, a server, a client and `caller` */
void caller_setup(void);

/** caller_teardown() - free everything that caller_setup() created */
void caller_teardown(void);

/** caller_init() - initialise an owner */
void caller_init(struct caller *c);

/** caller_clear() - free the memory of an owner */
void caller_clear(struct caller *c);

/** caller_start() - start a call to a path of the server */
void caller_start(struct caller *c, struct http_request *r, const char *path);

/** caller_get() - GET a path with `caller` and wait until the call has ended */
void caller_get(const char *path);

/** caller_make_pauses() - make the owner pause each piece of a body once */
void caller_make_pauses(struct caller *c);

#endif
