/*
 * Table of the settings, used to parse and print them.  Private to the settings
 * module and its generated part.
 */
#ifndef PROTO_SETTINGS_KEY_H
#define PROTO_SETTINGS_KEY_H

#include <stdint.h>

#include "proto/gen/settings.h"

/**
 * enum settings_type - type of a setting
 * @SETTINGS_NAME: a name, stored as the identifier that name_id() gives
 * @SETTINGS_URL: a URL, stored as char array
 * @SETTINGS_IPV4: an address, stored as uint32_t in host byte order
 * @SETTINGS_PORT: a port, stored as uint16_t
 * @SETTINGS_NUMBER: a number, stored as uint32_t
 * @SETTINGS_CHOICE: a keyword, stored as enum
 * @SETTINGS_ADDRESSES: a list, stored as array of struct net_addr with a count
 * @SETTINGS_SERVICE: a service name or empty, stored as interned string
 * @SETTINGS_TEXTS: a list of strings, stored as array of char arrays with a
 *	count
 * @SETTINGS_NAMES: a list of names, stored as array of identifiers with a
 *	count
 */
enum settings_type {
	SETTINGS_NAME = 0,
	SETTINGS_URL,
	SETTINGS_IPV4,
	SETTINGS_PORT,
	SETTINGS_NUMBER,
	SETTINGS_CHOICE,
	SETTINGS_ADDRESSES,
	SETTINGS_SERVICE,
	SETTINGS_TEXTS,
	SETTINGS_NAMES,
};

/**
 * struct settings_key - description of one setting
 * @name: the key
 * @type: type of the value
 * @offset: offset of the field in struct settings
 * @count_offset: offset of the count of a list
 * @required: whether the key has no default
 * @min: minimum of a number
 * @max: maximum of a number, or maximum number of list elements
 * @initial: default of a number, port or choice
 * @choices: keywords of a choice, in the order of its enum
 * @n_choices: number of @choices
 * @expected: phrase that describes valid values
 * @remedy: phrase that describes how to correct a wrong value
 */
struct settings_key {
	const char *name;
	enum settings_type type;
	uint32_t offset;
	uint32_t count_offset;
	int required;
	uint32_t min;
	uint32_t max;
	uint32_t initial;
	const char *const *choices;
	uint32_t n_choices;
	const char *expected;
	const char *remedy;
};

extern const struct settings_key settings_keys[];
extern const uint32_t n_settings_keys;

#endif
