/*
 * Measurements of the test driver: convergence and traffic.
 */
#ifndef DRIVER_MEASURE_H
#define DRIVER_MEASURE_H

#include <stdint.h>

#include <glib.h>

/** enum measure_class - purpose of traffic */
enum measure_class {
	MEASURE_MEMBERSHIP = 0,
	MEASURE_NOTICES,
	MEASURE_PULLS,
	MEASURE_FLOORS,
	MEASURE_PROGRESS,
	MEASURE_CONNECTIONS,
	MEASURE_SOURCE,
	MEASURE_CLASSES,
};

/* Sizes of the IP and UDP headers, of the IP and TCP headers, and of the
 * payload of a TCP segment. */
#define UDP_HEADER_BYTES 28
#define TCP_HEADER_BYTES 52
#define TCP_SEGMENT_BYTES 1448

/**
 * struct measure_bytes - traffic of a node, headers included
 * @sent: bytes sent, by class
 * @received: bytes received, by class
 */
struct measure_bytes {
	uint64_t sent[MEASURE_CLASSES];
	uint64_t received[MEASURE_CLASSES];
};

/* Last bucket of the histogram, in milliseconds; counts all longer times. */
#define MEASURE_MS_MAX 120000

/**
 * struct measure - convergence
 * @apply_ms: histogram of the time from a sign-off until a node applied the
 *	version, by milliseconds
 * @n: number of samples in @apply_ms
 * @version_us: time at which the last node applied a version, by version
 * @from: lowest version that is counted in @apply_ms
 */
struct measure {
	uint32_t *apply_ms;
	uint64_t n;
	GArray *version_us;
	uint64_t from;
};

/** measure_init() - start without samples */
void measure_init(struct measure *m);

/** measure_clear() - free the samples */
void measure_clear(struct measure *m);

/** measure_reset() - discard the samples and count from version @from on */
void measure_reset(struct measure *m, uint64_t from);

/** measure_applied() - record that a node applied @version at @now_us, @us
 * after its sign-off */
void measure_applied(
    struct measure *m, uint64_t version, uint64_t now_us, uint64_t us);

/** measure_quantile_ms() - quantile @q of the times from sign-off to
 * application */
uint32_t measure_quantile_ms(const struct measure *m, double q);

/** measure_class_of() - traffic class of a message type */
enum measure_class measure_class_of(uint8_t type);

/** measure_class_name() - name of a traffic class */
const char *measure_class_name(enum measure_class c);

/** measure_frame_bytes() - size of a frame of @len bytes with all headers */
uint64_t measure_frame_bytes(uint64_t len);

/** measure_datagram_bytes() - size of a datagram of @len bytes with all
 * headers */
uint64_t measure_datagram_bytes(uint64_t len);

#endif
