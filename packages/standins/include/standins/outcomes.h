/*
 * Outcomes of calls as seen by callers: one record for each call, written by
 * the load generator and read by the checker.
 *
 * In a file each record is a line of tab-separated fields: test id, kind, key
 * or "-", reported fate, HTTP status, response check, latency in microseconds,
 * time sent in microseconds since the start, index of the node, monotonic time
 * in milliseconds at which the caller left or 0.
 */
#ifndef STANDINS_OUTCOMES_H
#define STANDINS_OUTCOMES_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "base/status.h"

#define OUTCOMES_ID_BYTES 64

/** enum call_kind - kind of a call; only lookups are idempotent */
enum call_kind {
	CALL_LOOKUP,
	CALL_BOOKING,
	CALL_UPLOAD,
	CALL_KINDS,
};

/**
 * enum reported_fate - fate of a call as reported to its caller
 * @REPORTED_DONE: the request was run
 * @REPORTED_NOT_RUN: the request was not run and will not be run
 * @REPORTED_UNKNOWN: the request may have been run; also without a response
 * @REPORTED_NOT_SENT: no connection was established, so nothing was sent
 * @REPORTED_COUNT: number of values
 */
enum reported_fate {
	REPORTED_DONE,
	REPORTED_NOT_RUN,
	REPORTED_UNKNOWN,
	REPORTED_NOT_SENT,
	REPORTED_COUNT,
};

/**
 * enum response_check - whether a response is intact and belongs to the call
 * @RESPONSE_NONE: nothing to check: no response, or none that reports a run
 * @RESPONSE_OK: intact and of this call
 * @RESPONSE_CUT: the connection broke during the response, so that the caller
 *	can detect the truncation
 * @RESPONSE_NOT_OWN: response to another call
 * @RESPONSE_NOT_WHOLE: a length or hash differs
 * @RESPONSE_NO_FATE: response of a node without a Bramley-Fate header
 * @RESPONSE_CHECKS: number of values
 */
enum response_check {
	RESPONSE_NONE,
	RESPONSE_OK,
	RESPONSE_CUT,
	RESPONSE_NOT_OWN,
	RESPONSE_NOT_WHOLE,
	RESPONSE_NO_FATE,
	RESPONSE_CHECKS,
};

/**
 * struct outcome - outcome of one call
 * @test_id: X-Test-Id of the call
 * @key: Idempotency-Key or an empty string
 * @kind: kind of the call
 * @reported: fate reported to the caller
 * @check: result of the response check
 * @status: HTTP status; 0 without a response
 * @latency_us: from the scheduled time to the last byte of the response
 * @sent_us: scheduled time since the start of the run
 * @node: index of the node that was called
 * @left_ms: monotonic time at which the caller left before its response, 0 if
 *	it stayed
 */
struct outcome {
	char test_id[OUTCOMES_ID_BYTES];
	char key[OUTCOMES_ID_BYTES];
	enum call_kind kind;
	enum reported_fate reported;
	enum response_check check;
	int status;
	uint64_t latency_us;
	uint64_t sent_us;
	uint32_t node;
	uint64_t left_ms;
};

/** call_kind_name() - "lookup", "booking" or "upload" */
const char *call_kind_name(enum call_kind k);

/** reported_fate_name() - "done", "not_run", "unknown" or "not_sent" */
const char *reported_fate_name(enum reported_fate t);

/**
 * response_check_name() - "none", "ok", "cut", "not_own", "not_whole" or
 * "no_fate"
 */
const char *response_check_name(enum response_check c);

/** outcomes_write() - append a record to a file */
void outcomes_write(FILE *f, const struct outcome *o);

/**
 * outcomes_read() - read a file of records
 * @path: path of the file
 * @out: array of struct outcome; records are appended
 *
 * Return: STATUS_OK, STATUS_IO if the file can't be read, or STATUS_INVALID
 * with the number of the first invalid line in the message.
 */
enum status outcomes_read(const char *path, GArray *out);

#endif
