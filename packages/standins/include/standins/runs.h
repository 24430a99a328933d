/*
 * Counts of runs at upstreams, by test id, request id and idempotency key.
 *
 * A journal file preserves them when the upstream is killed.  It has one line
 * for each run, written before the work of the run starts: test id, request id,
 * key, host and monotonic time in milliseconds; "-" stands for an absent id.
 * A file beside it, with RUNS_ENDS_SUFFIX, has a line for each run that ended:
 * test id, host and monotonic time.  A third one, with RUNS_CUSTOMERS_SUFFIX,
 * has a line for each run: the customer that the caller names in X-Test-Holder,
 * the customer that the node names, host and monotonic time.
 */
#ifndef STANDINS_RUNS_H
#define STANDINS_RUNS_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/status.h"

/** RUNS_ENDS_SUFFIX - appended to the path of a journal: the file of ends */
#define RUNS_ENDS_SUFFIX ".ends"

/** RUNS_CUSTOMERS_SUFFIX - appended to the path of a journal: the file of the
 * runs' customers */
#define RUNS_CUSTOMERS_SUFFIX ".customers"

/**
 * struct run_ids - ids of one run; NULL or "" if absent
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
 * runs_new() - create counts of zero runs
 * @host: name of the host, for the journal; copied
 * @journal: path of the journal, which is appended to, or NULL
 * @out: set to the counts
 *
 * Return: STATUS_OK, or STATUS_IO if the journal can't be opened.
 */
enum status runs_new(const char *host, const char *journal, struct runs **out);

/** runs_free() - close the journal and free the counts */
void runs_free(struct runs *r);

/**
 * runs_add() - count a run and write it to the journal; thread-safe
 * @r: the counts
 * @ids: ids of the run
 * @now_ms: monotonic time
 *
 * Return: the number of runs so far, including this one.
 */
uint64_t runs_add(struct runs *r, const struct run_ids *ids, uint64_t now_ms);

/**
 * runs_customer() - write for which customer a run is; thread-safe
 * @r: the counts
 * @holder: customer that holds the request's key by its caller, NULL or ""
 * @customer: customer that the node names, NULL or ""
 * @now_ms: monotonic time
 */
void runs_customer(
    struct runs *r, const char *holder, const char *customer, uint64_t now_ms);

/** runs_end() - write the end of a run to the file of ends; thread-safe */
void runs_end(struct runs *r, const struct run_ids *ids, uint64_t now_ms);

/** runs_json() - {"total", "by_test_id", "by_request_id", "by_key"} */
json_t *runs_json(struct runs *r);

/**
 * runs_read_journal() - add the runs of a journal to the counts
 * @r: the counts
 * @path: path of the journal
 *
 * Hosts are ignored.  A last line truncated by a kill counts if its test id is
 * complete.
 * Return: STATUS_OK, STATUS_IO or STATUS_INVALID.
 */
enum status runs_read_journal(struct runs *r, const char *path);

/**
 * runs_read_json() - add the counts of a response to GET /standin/runs
 * @r: the counts
 * @j: body of the response
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status runs_read_json(struct runs *r, const json_t *j);

/** runs_of_test_id() - number of runs of a test id */
uint64_t runs_of_test_id(const struct runs *r, const char *test_id);

/** runs_of_key() - number of runs of an idempotency key */
uint64_t runs_of_key(const struct runs *r, const char *key);

/**
 * runs_foreach_test_id() - call a function for each test id with a run
 * @r: the counts
 * @fn: the function
 * @arg: passed to @fn
 */
void runs_foreach_test_id(const struct runs *r,
    void (*fn)(const char *test_id, uint64_t n, void *arg), void *arg);

#endif
