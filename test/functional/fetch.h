/*
 * HTTP requests of a test, by libcurl, each on a connection of its own.
 */
#ifndef FUNCTIONAL_FETCH_H
#define FUNCTIONAL_FETCH_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/**
 * struct fetch - one request
 * @method: "GET", "POST", ...
 * @url: "http://ip:port/path"
 * @headers: header lines, ended by NULL; may be NULL
 * @body: body or NULL
 * @body_len: its length in bytes
 * @timeout_ms: when to give up; 0 means 5 s
 */
struct fetch {
	const char *method;
	const char *url;
	const char *const *headers;
	const void *body;
	size_t body_len;
	uint32_t timeout_ms;
};

/**
 * struct fetch_answer - what came of it
 * @code: HTTP status; 0 when no whole answer came
 * @headers: all header lines
 * @body: the body
 */
struct fetch_answer {
	int code;
	GString *headers;
	GString *body;
};

/** fetch_perform() - make a request; clear the answer after use */
void fetch_perform(const struct fetch *f, struct fetch_answer *a);

/** fetch_answer_clear() - free what an answer holds */
void fetch_answer_clear(struct fetch_answer *a);

/**
 * fetch_header() - value of a header of an answer
 * @a: the answer
 * @name: the header, in any case
 *
 * Return: a new string, or NULL when there is none.
 */
char *fetch_header(const struct fetch_answer *a, const char *name);

/**
 * fetch_json() - make a request with an optional body and read JSON
 * @method: "GET", ...
 * @url: where
 * @body: text or NULL
 * @code: where the status goes, or NULL
 *
 * Return: a new reference, or NULL when the answer was no JSON.
 */
json_t *
fetch_json(const char *method, const char *url, const char *body, int *code);

/**
 * fetch_wait_status() - repeat a GET until it answers with a status
 * @url: where
 * @code: the status
 * @timeout_ms: how long to try
 *
 * Return: 1 when it did, else 0.
 */
int fetch_wait_status(const char *url, int code, uint32_t timeout_ms);

#endif
