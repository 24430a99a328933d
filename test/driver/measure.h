/*
 * Measures of the test driver: convergence and traffic.
 */
#ifndef DRIVER_MEASURE_H
#define DRIVER_MEASURE_H

#include <stdint.h>

#include <glib.h>

/** enum measure_class - what traffic was for */
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

/* Headers: IP and UDP, IP and TCP, and the bytes of a TCP segment. */
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

/* Histogram of milliseconds; the last bucket has all that is longer. */
#define MEASURE_MS_MAX 120000

/**
 * struct measure - convergence
 * @apply_ms: how long a node took to hold a version, by milliseconds
 * @n: number of those
 * @version_us: when the last node held a version, by version
 * @from: first version that counts
 */
struct measure {
	uint32_t *apply_ms;
	uint64_t n;
	GArray *version_us;
	uint64_t from;
};

/** measure_init() - nothing measured */
void measure_init(struct measure *m);

/** measure_clear() - free what was measured */
void measure_clear(struct measure *m);

/** measure_reset() - count anew, from version @from on */
void measure_reset(struct measure *m, uint64_t from);

/** measure_applied() - a node came to hold @version, @us after its sign-off */
void measure_applied(
    struct measure *m, uint64_t version, uint64_t now_us, uint64_t us);

/** measure_quantile_ms() - quantile @q of the nodes' times */
uint32_t measure_quantile_ms(const struct measure *m, double q);

/** measure_class_of() - class of a message type */
enum measure_class measure_class_of(uint8_t type);

/** measure_class_name() - name of a class */
const char *measure_class_name(enum measure_class c);

/** measure_frame_bytes() - bytes of a frame with its headers */
uint64_t measure_frame_bytes(uint64_t len);

/** measure_datagram_bytes() - bytes of a datagram with its headers */
uint64_t measure_datagram_bytes(uint64_t len);

#endif
