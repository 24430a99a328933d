/*
 * Table of the settings, which leads their reading and printing.  Private to
 * the settings module and its generated part.
 */
#ifndef PROTO_SETTINGS_KEY_H
#define PROTO_SETTINGS_KEY_H

#include <stdint.h>

#include "proto/gen/settings.h"

/**
 * enum settings_type - what a key takes
 * @SETTINGS_NAME: a name, as char array
 * @SETTINGS_URL: a URL, as char array
 * @SETTINGS_IPV4: an address, as uint32_t in host byte order
 * @SETTINGS_PORT: a port, as uint16_t
 * @SETTINGS_NUMBER: a number, as uint32_t
 * @SETTINGS_CHOICE: one of some words, as enum
 * @SETTINGS_ADDRESSES: a list, as array of struct net_addr with a count
 * @SETTINGS_SERVICE: name of a service or nothing, as char array
 * @SETTINGS_TEXTS: a list of texts, as array of char arrays with a count
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
};

/**
 * struct settings_key - one key
 * @name: the key
 * @type: what it takes
 * @offset: where its field is in struct settings
 * @count_offset: where the count of a list is
 * @required: whether it has no default
 * @min: least number
 * @max: largest number, or most elements of a list
 * @initial: default of a number, port or choice
 * @choices: words of a choice, in the order of its enum
 * @n_choices: number of @choices
 * @expected: what it takes, as a phrase
 * @remedy: what to do about a wrong value, as a phrase
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
