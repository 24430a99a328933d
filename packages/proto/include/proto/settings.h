/*
 * Settings: parsing, validation and printing.  struct settings itself is
 * generated; see proto/gen/settings.h and docs/SETTINGS.md.
 */
#ifndef PROTO_SETTINGS_H
#define PROTO_SETTINGS_H

#include <stddef.h>

#include <glib.h>

#include "base/status.h"
#include "proto/gen/settings.h"

/**
 * settings_load() - load the settings from a file
 * @path: the file
 * @s: receives the settings; keys with errors keep their defaults
 * @errors: receives all errors of the file as strings to be freed with
 *	g_free(), each with the file, the key, the expected value and the
 *	remedy; may be NULL
 *
 * Return: STATUS_OK, or STATUS_INVALID (STATUS_IO when the file can't be
 * read); status_message() has the first error.
 */
enum status
settings_load(const char *path, struct settings *s, GPtrArray *errors);

/**
 * settings_parse() - parse settings in memory
 * @text: a JSON object; need not be zero-terminated
 * @len: number of bytes
 * @name: file name for error messages
 * @s: see settings_load()
 * @errors: see settings_load()
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status settings_parse(const char *text, size_t len, const char *name,
    struct settings *s, GPtrArray *errors);

/**
 * settings_print() - print the settings in effect as JSON, including defaults
 * @s: the settings
 * @out: receives the JSON, which settings_parse() accepts
 */
void settings_print(const struct settings *s, GString *out);

#endif
