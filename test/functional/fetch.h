/*
 * HTTP client for tests, based on libcurl, with a new connection for each
 * request.
 */
#ifndef FUNCTIONAL_FETCH_H
#define FUNCTIONAL_FETCH_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/**
 * struct fetch - an HTTP request
 * @method: "GET", "POST", ...
 * @url: "http://ip:port/path"
 * @headers: header lines, terminated by NULL; may be NULL
 * @body: body or NULL
 * @body_len: length of @body in bytes
 * @timeout_ms: timeout of the whole request; 0 means 5 s
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
 * struct fetch_answer - answer to a request
 * @code: HTTP status; 0 without a complete answer
 * @headers: all header lines
 * @body: the body
 */
struct fetch_answer {
	int code;
	GString *headers;
	GString *body;
};

/** fetch_perform() - send a request; free the answer with fetch_answer_clear()
 */
void fetch_perform(const struct fetch *f, struct fetch_answer *a);

/** fetch_answer_clear() - free the headers and the body of an answer */
void fetch_answer_clear(struct fetch_answer *a);

/**
 * fetch_header() - value of a header of an answer
 * @a: the answer
 * @name: name of the header, compared without regard to case
 *
 * Return: a new string, or NULL if the answer lacks the header.
 */
char *fetch_header(const struct fetch_answer *a, const char *name);

/**
 * fetch_json() - send a request with an optional body and parse the answer
 * @method: "GET", ...
 * @url: URL
 * @body: text or NULL
 * @code: receives the HTTP status; may be NULL
 *
 * Return: a new reference, or NULL if the answer isn't JSON.
 */
json_t *
fetch_json(const char *method, const char *url, const char *body, int *code);

/**
 * fetch_wait_status() - repeat a GET until the answer has a given status
 * @url: URL
 * @code: the HTTP status
 * @timeout_ms: how long to repeat the request
 *
 * Return: 1 if an answer had the status in time, else 0.
 */
int fetch_wait_status(const char *url, int code, uint32_t timeout_ms);

#endif
