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
 * enum told - what the caller was told
 * @TOLD_DONE: the request was run
 * @TOLD_NOT_RUN: the request was not and will not be run
 * @TOLD_UNKNOWN: whether it was run is not known; also when no answer came
 * @TOLD_NOT_SENT: no connection came about, so nothing was sent
 * @TOLD_KINDS: number of them
 */
enum told {
	TOLD_DONE,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_NOT_SENT,
	TOLD_KINDS,
};

/**
 * enum answer_check - whether an answer was whole and the caller's own
 * @ANSWER_NONE: there was no answer to check (none came, or no run told)
 * @ANSWER_OK: whole and its own
 * @ANSWER_CUT: the connection broke after the answer had begun; the caller
 *	knows that it is not whole
 * @ANSWER_NOT_OWN: the answer to another call
 * @ANSWER_NOT_WHOLE: a length or hash differs
 * @ANSWER_NO_FATE: a node answered without saying the fate
 * @ANSWER_KINDS: number of them
 */
enum answer_check {
	ANSWER_NONE,
	ANSWER_OK,
	ANSWER_CUT,
	ANSWER_NOT_OWN,
	ANSWER_NOT_WHOLE,
	ANSWER_NO_FATE,
	ANSWER_KINDS,
};

/**
 * struct outcome - one call
 * @test_id: X-Test-Id of the call
 * @key: Idempotency-Key or an empty string
 * @kind: what was asked
 * @told: what the caller was told
 * @check: check of the answer
 * @status: HTTP status; 0 when no answer came
 * @latency_us: from the scheduled time to the last byte of the answer
 * @sent_us: scheduled time since the start of the run
 */
struct outcome {
	char test_id[OUTCOMES_ID_BYTES];
	char key[OUTCOMES_ID_BYTES];
	enum call_kind kind;
	enum told told;
	enum answer_check check;
	int status;
	uint64_t latency_us;
	uint64_t sent_us;
};

/** call_kind_name() - "lookup", "booking" or "upload" */
const char *call_kind_name(enum call_kind k);

/** told_name() - "done", "not_run", "unknown" or "not_sent" */
const char *told_name(enum told t);

/** answer_check_name() - "none", "ok", "cut", "not_own", "not_whole", "no_fate"
 */
const char *answer_check_name(enum answer_check c);

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
