/*
 * What upstreams ran: counts per test id, request id and idempotency key.
 * A journal in a file keeps them when the upstream is killed: one line for
 * each run, written when the run starts, before any of its work: test id,
 * request id, key, host, monotonic milliseconds; "-" where there is none.
 */
#ifndef STANDINS_RUNS_H
#define STANDINS_RUNS_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/status.h"

/**
 * struct run_ids - names of one run; NULL or "" where there is none
 * @test_id: X-Test-Id header
 * @request_id: Bramley-Request-Id header
 * @key: Idempotency-Key header
 */
struct run_ids {
	const char *test_id;
	const char *request_id;
	const char *key;
};

struct runs;

/**
 * runs_new() - no runs yet
 * @host: name of the host, for the journal; copied
 * @journal: path of the journal, appended to, or NULL
 * @out: where the counts go
 *
 * Return: STATUS_OK, or STATUS_IO when the journal can't be written.
 */
enum status runs_new(const char *host, const char *journal, struct runs **out);

/** runs_free() - close the journal and free the counts */
void runs_free(struct runs *r);

/**
 * runs_add() - count a run; thread-safe
 * @r: the counts
 * @ids: its names
 * @now_ms: monotonic time
 *
 * Return: the number of runs so far, this one included.
 */
uint64_t runs_add(struct runs *r, const struct run_ids *ids, uint64_t now_ms);

/** runs_json() - {"total", "by_test_id", "by_request_id", "by_key"} */
json_t *runs_json(struct runs *r);

/**
 * runs_read_journal() - add a journal's runs to the counts; host is ignored
 * @r: the counts
 * @path: the file
 *
 * A last line that was cut off by a kill counts when its test id is whole.
 * Return: STATUS_OK, STATUS_IO or STATUS_INVALID.
 */
enum status runs_read_journal(struct runs *r, const char *path);

/**
 * runs_read_json() - add the counts of an answer to GET /standin/runs
 * @r: the counts
 * @j: the JSON value
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status runs_read_json(struct runs *r, const json_t *j);

/** runs_of_test_id() - number of runs of a test id */
uint64_t runs_of_test_id(const struct runs *r, const char *test_id);

/** runs_of_key() - number of runs of an idempotency key */
uint64_t runs_of_key(const struct runs *r, const char *key);

/**
 * runs_foreach_test_id() - call a function for each test id that was run
 * @r: the counts
 * @fn: the function
 * @arg: passed to @fn
 */
void runs_foreach_test_id(const struct runs *r,
    void (*fn)(const char *test_id, uint64_t n, void *arg), void *arg);

#endif
