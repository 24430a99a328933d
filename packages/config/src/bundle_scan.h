/*
 * Scans JSON text before the library parses it, so that a small text can't
 * make the library use much memory or stack.
 */
#ifndef CONFIG_BUNDLE_SCAN_H
#define CONFIG_BUNDLE_SCAN_H

#include "problems.h"

/* Most values in a bundle; the largest valid bundle has no more. */
#define BUNDLE_MAX_VALUES 4000000

/**
 * bundle_scan() - check size, nesting and number of values
 * @json: first byte
 * @len: number of bytes
 * @p: receives problems
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE or STATUS_INVALID.
 */
enum status bundle_scan(const char *json, size_t len, struct problems *p);

#endif
