/*
 * Generated bundles for benchmarks: any number of services of the same shape.
 */
#ifndef CAPACITY_BUNDLE_TEXT_H
#define CAPACITY_BUNDLE_TEXT_H

#include <stdint.h>

#include <glib.h>

#define BUNDLE_TEXT_SERVICE_BYTES 32

/**
 * struct bundle_text - parameters of a bundle
 * @first: number of the first service
 * @services: number of services
 * @routes: number of routes of each service
 * @odd: number of the service that has another timeout
 * @timeout_ms: timeout of that service
 * @slots: slots and queue length of each endpoint; 0 for the defaults
 */
struct bundle_text {
	uint32_t first;
	uint32_t services;
	uint32_t routes;
	uint32_t odd;
	uint32_t timeout_ms;
	uint32_t slots;
};

/** bundle_text_service() - name of the service with number @i */
void bundle_text_service(uint32_t i, char name[BUNDLE_TEXT_SERVICE_BYTES]);

/** bundle_text_write() - write the bundle as operators do, as JSON in a new
 * string */
GString *bundle_text_write(const struct bundle_text *t);

#endif
