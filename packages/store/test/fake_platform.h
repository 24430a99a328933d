/*
 * A fake platform that answers every request alike, and a caller of the store
 * that records the results.
 */
#ifndef TEST_FAKE_PLATFORM_H
#define TEST_FAKE_PLATFORM_H

#include <glib.h>

#include "http_fake.h"
#include "store/http_store.h"
#include "support.h"

#define HANG_TIMEOUT_MS 150

/**
 * enum mode - reaction of the platform to a request
 * @MODE_ANSWER: answer it
 * @MODE_DROP: close without an answer
 * @MODE_HANG: never answer
 * @MODE_CUT: close before the answer is complete
 * @MODE_OPEN: answer without a length, and close
 * @MODE_BIG: answer with more than the store accepts
 * @MODE_DOWN: no request arrives: the test takes the platform down
 */
enum mode {
	MODE_ANSWER,
	MODE_DROP,
	MODE_HANG,
	MODE_CUT,
	MODE_OPEN,
	MODE_BIG,
	MODE_DOWN,
};

/**
 * struct reply - reaction to every request
 * @mode: kind of the reaction
 * @code: code of the answer
 * @body: body of the answer
 */
struct reply {
	enum mode mode;
	int code;
	const char *body;
};

/* The last request, and the number of requests. */
extern GString *seen_request;
extern GString *seen_body;
extern int seen_count;

extern struct loop *loop;
extern struct http_client *client;
extern struct store *store;

/* Result of the last operation, and the number of callbacks since the last
 * wait. */
extern int n_callbacks;
extern enum status result_status;
extern enum store_conflict result_conflict;
extern struct store_head result_head;
extern struct store_version result_rows[STORE_VERSIONS_MAX];
extern uint32_t result_n_rows;
extern uint64_t result_upto;
extern GByteArray *result_bytes;

/** platform_setup() - create a loop, a platform and a store that uses it */
void platform_setup(void);

/** platform_teardown() - free all of them */
void platform_teardown(void);

/** set_reply() - set the reaction to further requests */
void set_reply(enum mode mode, int code, const char *body);

/** caller_deadline() - deadline of an operation; early if the platform is
 * set to hang */
uint64_t caller_deadline(void);

/** caller_await() - wait for the end of the operation just started */
void caller_await(void);

/** caller_on_head() - a store_head_fn that records the result */
void caller_on_head(enum status st, const struct store_head *head, void *arg);

/** caller_on_put() - a store_done_fn that records the result */
void caller_on_put(enum status st, void *arg);

/** caller_read_head() - read the head row and wait */
void caller_read_head(void);

/** caller_read_versions() - read versions and wait */
void caller_read_versions(uint64_t from, uint64_t to);

/** caller_transact() - write rows and wait */
void caller_transact(const struct store_write *w);

/** caller_write_example() - write the example head and version rows and wait */
void caller_write_example(void);

/** caller_put_object() - write the object "section/ab" and wait */
void caller_put_object(void);

/** caller_get_object() - read the object "section/ab" and wait */
void caller_get_object(size_t max_bytes);

/** example_head() - a head row with a value in every field; seq 8 */
struct store_head example_head(void);

/** example_version() - a version row with a value in every field */
struct store_version example_version(void);

#endif
