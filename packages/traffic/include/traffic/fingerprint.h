/*
 * Fingerprint: identifies the same request across attempts and callers'
 * retries.
 *
 * Each attempt has its own id, so a repeated request is recognised by its
 * method, host, path, body and caller.  The service is not part of the
 * fingerprint, since a route may send the same request to another service.
 *
 * Of a body, the length and the first FINGERPRINT_BODY_BYTES are included,
 * which are available before an attempt starts.  Two requests that agree in
 * all of this count as the same.
 */
#ifndef TRAFFIC_FINGERPRINT_H
#define TRAFFIC_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FINGERPRINT_BODY_BYTES 16384

/*
 * 16 digits of the content, a dot, 16 digits of the caller, and the final NUL.
 */
#define FINGERPRINT_TEXT_BYTES 34

/**
 * struct fingerprint - identity of a request
 * @content: hash of everything but the caller; 0 for none
 * @caller: hash of the caller, separate from @content, so that no caller can
 *	forge the fingerprint of another caller's request; 0 stands for any
 *	caller
 */
struct fingerprint {
	uint64_t content;
	uint64_t caller;
};

/**
 * struct fingerprint_parts - the parts of a request that identify it
 * @method: HTTP method
 * @host: host name in the request, "" for none; an address is treated as none,
 *	since it is the address of the node that was called
 * @path: path and query
 * @caller: the caller, "" when unknown
 * @body_bytes: length of the body, -1 when unknown
 * @body: beginning of the body
 * @body_len: bytes of @body; bytes beyond FINGERPRINT_BODY_BYTES are ignored
 */
struct fingerprint_parts {
	const char *method;
	const char *host;
	const char *path;
	const char *caller;
	int64_t body_bytes;
	const uint8_t *body;
	size_t body_len;
};

/** fingerprint_make() - compute the fingerprint of a request */
void
fingerprint_make(const struct fingerprint_parts *p, struct fingerprint *out);

/**
 * fingerprint_equal() - whether both are the same request of the same caller
 */
bool
fingerprint_equal(const struct fingerprint *a, const struct fingerprint *b);

/** fingerprint_text() - textual form for logs and operators */
const char *fingerprint_text(
    const struct fingerprint *f, char text[FINGERPRINT_TEXT_BYTES]);

/** fingerprint_parse() - parse the output of fingerprint_text() */
bool fingerprint_parse(const char *text, struct fingerprint *out);

#endif
