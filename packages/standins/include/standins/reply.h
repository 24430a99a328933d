/*
 * Response body of the stand-in upstream: a line of JSON that identifies the
 * call and describes the received body, followed by the requested number of
 * pattern bytes.  The load generator checks that a response is intact and
 * belongs to the call.
 */
#ifndef STANDINS_REPLY_H
#define STANDINS_REPLY_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "standins/outcomes.h"

/**
 * struct reply - content of the JSON line
 * @host: host of the upstream
 * @test_id: X-Test-Id of the call that was run
 * @key: Idempotency-Key of the call, or ""
 * @run: number of the run at this upstream
 * @body_bytes: length of the received body
 * @body_hash: XXH64 of the received body
 * @pad_bytes: number of pattern bytes that follow the line
 */
struct reply {
	const char *host;
	const char *test_id;
	const char *key;
	uint64_t run;
	uint64_t body_bytes;
	uint64_t body_hash;
	uint64_t pad_bytes;
};

/**
 * reply_line() - format the JSON line, terminated by a newline
 * @r: content of the line
 *
 * Return: a new string.  The pattern after it has the seed of @r->test_id.
 */
GString *reply_line(const struct reply *r);

/**
 * struct reply_expected - expected content of the response to a call
 * @test_id: test id of the call
 * @key: key of the call or ""; a response to another call with the same key is
 *	accepted too
 * @body_bytes: length of the body sent
 * @body_hash: XXH64 of the body sent
 * @pad_bytes: number of pattern bytes requested
 */
struct reply_expected {
	const char *test_id;
	const char *key;
	uint64_t body_bytes;
	uint64_t body_hash;
	uint64_t pad_bytes;
};

/**
 * struct reply_reader - incremental reader of a response
 * @line: JSON line received so far
 * @line_complete: whether the newline was received
 * @pad_bytes: number of pattern bytes received so far
 * @pad_hash: hash of the pattern bytes received so far
 */
struct reply_reader {
	GString *line;
	int line_complete;
	uint64_t pad_bytes;
	XXH64_state_t *pad_hash;
};

/** reply_reader_init() - initialize a reader; free with reply_reader_clear() */
void reply_reader_init(struct reply_reader *r);

/** reply_reader_reset() - prepare a reader for the next response */
void reply_reader_reset(struct reply_reader *r);

/** reply_reader_clear() - free the contents of a reader */
void reply_reader_clear(struct reply_reader *r);

/** reply_reader_feed() - process the next bytes of the response body */
void reply_reader_feed(struct reply_reader *r, const void *data, size_t len);

/**
 * reply_reader_check() - check the response after its end
 * @r: the reader
 * @w: expected content
 *
 * Return: RESPONSE_OK, RESPONSE_NOT_OWN or RESPONSE_NOT_WHOLE.
 */
enum response_check reply_reader_check(
    const struct reply_reader *r, const struct reply_expected *w);

#endif
