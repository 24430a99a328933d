/*
 * Settings: reading, checking and showing them.  struct settings itself is
 * generated; see proto/gen/settings.h and docs/SETTINGS.md.
 */
#ifndef PROTO_SETTINGS_H
#define PROTO_SETTINGS_H

#include <stddef.h>

#include <glib.h>

#include "base/status.h"
#include "proto/gen/settings.h"

/**
 * settings_load() - read the settings from a file
 * @path: the file
 * @s: where the settings go; holds the defaults where the file has errors
 * @errors: all errors of the file are added to it as texts that are freed
 *	with g_free(), each with the file, the key, what is expected and the
 *	remedy; NULL when only the first one is wanted
 *
 * Return: STATUS_OK, or STATUS_INVALID (STATUS_IO when the file can't be
 * read), with the first error as last message.
 */
enum status
settings_load(const char *path, struct settings *s, GPtrArray *errors);

/**
 * settings_parse() - read the settings from memory
 * @text: a JSON object; need not be zero-terminated
 * @len: number of bytes
 * @name: what errors call the file
 * @s: see settings_load()
 * @errors: see settings_load()
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status settings_parse(const char *text, size_t len, const char *name,
    struct settings *s, GPtrArray *errors);

/**
 * settings_print() - the settings in effect as JSON, defaults included
 * @s: the settings
 * @out: where the text is appended; settings_parse() takes it
 */
void settings_print(const struct settings *s, GString *out);

#endif
