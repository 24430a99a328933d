/*
 * Answer of the stand-in upstream: a line of JSON that names the call and
 * describes the body that arrived, then as many pattern bytes as were asked
 * for.  The load generator checks that an answer is whole and its own.
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
 * struct reply - what the line says
 * @host: host of the upstream
 * @test_id: X-Test-Id of the call that was run
 * @key: its Idempotency-Key or ""
 * @run: number of the run at this upstream
 * @body_bytes: length of the body that arrived
 * @body_hash: its XXH64
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
 * reply_line() - the line, ended by a newline
 * @r: what it says
 *
 * Return: a new string.  The pattern after it has the seed of @r->test_id.
 */
GString *reply_line(const struct reply *r);

/**
 * struct reply_expected - what a caller expects of its answer
 * @test_id: its test id
 * @key: its key or ""; the answer to another call with it is its own too
 * @body_bytes: length of the body that it sent
 * @body_hash: its XXH64
 * @pad_bytes: number of pattern bytes that it asked for
 */
struct reply_expected {
	const char *test_id;
	const char *key;
	uint64_t body_bytes;
	uint64_t body_hash;
	uint64_t pad_bytes;
};

/**
 * struct reply_reader - an answer being read
 * @line: the line so far
 * @line_complete: whether its end was seen
 * @pad_bytes: pattern bytes so far
 * @pad_hash: their hash so far
 */
struct reply_reader {
	GString *line;
	int line_complete;
	uint64_t pad_bytes;
	XXH64_state_t *pad_hash;
};

/** reply_reader_init() - start to read an answer */
void reply_reader_init(struct reply_reader *r);

/** reply_reader_reset() - start to read the next answer */
void reply_reader_reset(struct reply_reader *r);

/** reply_reader_clear() - free what a reader holds */
void reply_reader_clear(struct reply_reader *r);

/** reply_reader_feed() - the next bytes of the answer's body */
void reply_reader_feed(struct reply_reader *r, const void *data, size_t len);

/**
 * reply_reader_check() - check the answer at its end
 * @r: the reader
 * @w: what the caller expects
 *
 * Return: RESPONSE_OK, RESPONSE_NOT_OWN or RESPONSE_NOT_WHOLE.
 */
enum response_check reply_reader_check(
    const struct reply_reader *r, const struct reply_expected *w);

#endif
