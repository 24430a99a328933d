/*
 * What callers were told: one record for each call, kept by the load
 * generator and read by the checker.
 *
 * In a file each record is a line of fields parted by tabs:
 * test id, kind, key or "-", told, HTTP status, answer check, latency in
 * microseconds, time sent in microseconds since the start.
 */
#ifndef STANDINS_OUTCOMES_H
#define STANDINS_OUTCOMES_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "base/status.h"

#define OUTCOMES_ID_BYTES 64

/** enum call_kind - what a call asks for; only lookups are idempotent */
enum call_kind {
	CALL_LOOKUP,
	CALL_BOOKING,
	CALL_UPLOAD,
	CALL_KINDS,
};

/**
 * enum reported_fate - what the caller was told
 * @REPORTED_DONE: the request was run
 * @REPORTED_NOT_RUN: the request was not and will not be run
 * @REPORTED_UNKNOWN: whether it was run is not known; also when no answer came
 * @REPORTED_NOT_SENT: no connection came about, so nothing was sent
 * @REPORTED_COUNT: number of them
 */
enum reported_fate {
	REPORTED_DONE,
	REPORTED_NOT_RUN,
	REPORTED_UNKNOWN,
	REPORTED_NOT_SENT,
	REPORTED_COUNT,
};

/**
 * enum response_check - whether an answer was whole and the caller's own
 * @RESPONSE_NONE: there was no answer to check (none came, or no run told)
 * @RESPONSE_OK: whole and its own
 * @RESPONSE_CUT: the connection broke after the answer had begun; the caller
 *	knows that it is not whole
 * @RESPONSE_NOT_OWN: the answer to another call
 * @RESPONSE_NOT_WHOLE: a length or hash differs
 * @RESPONSE_NO_FATE: a node answered without saying the fate
 * @RESPONSE_CHECKS: number of them
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
 * struct outcome - one call
 * @test_id: X-Test-Id of the call
 * @key: Idempotency-Key or an empty string
 * @kind: what was asked
 * @reported: what the caller was told
 * @check: check of the answer
 * @status: HTTP status; 0 when no answer came
 * @latency_us: from the scheduled time to the last byte of the answer
 * @sent_us: scheduled time since the start of the run
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
};

/** call_kind_name() - "lookup", "booking" or "upload" */
const char *call_kind_name(enum call_kind k);

/** reported_fate_name() - "done", "not_run", "unknown" or "not_sent" */
const char *reported_fate_name(enum reported_fate t);

/** response_check_name() - "none", "ok", "cut", "not_own", "not_whole",
 * "no_fate"
 */
const char *response_check_name(enum response_check c);

/** outcomes_write() - append a record to an open file */
void outcomes_write(FILE *f, const struct outcome *o);

/**
 * outcomes_read() - read a file of records
 * @path: the file
 * @out: array of struct outcome; appended to
 *
 * Return: STATUS_OK, STATUS_IO, or STATUS_INVALID with the line's number.
 */
enum status outcomes_read(const char *path, GArray *out);

#endif
