/*
 * A look at JSON text before a library parses it, so that a small text can't
 * make it take much memory or stack.
 */
#ifndef CONFIG_BUNDLE_SCAN_H
#define CONFIG_BUNDLE_SCAN_H

#include "problems.h"

/* Most values in a bundle: what the largest bundle that fits can hold. */
#define BUNDLE_MAX_VALUES 4000000

/**
 * bundle_scan() - check size, nesting and number of values
 * @json: first byte
 * @len: number of bytes
 * @p: where problems go
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE or STATUS_INVALID.
 */
enum status bundle_scan(const char *json, size_t len, struct problems *p);

#endif
