/*
 * Samples: structs filled with random values according to their tables.
 */
#ifndef PROTO_TEST_SAMPLE_H
#define PROTO_TEST_SAMPLE_H

#include <glib.h>

#include "proto/codec.h"

/* Number of values that sample_desc() accepts. */
#define SAMPLE_TYPES 257

/**
 * sample_desc() - codec table by index, for tests that loop over all types
 * @i: type of a message, or SAMPLE_TYPES - 1 for a test struct with a field of
 *	every kind
 *
 * Return: the table, NULL when no message has the type.
 */
const struct codec_desc *sample_desc(int i);

/**
 * sample_encoded() - encode a random sample
 * @desc: table of the struct
 * @rand: source of the values
 *
 * Return: the encoding; free with g_byte_array_unref().
 */
GByteArray *sample_encoded(const struct codec_desc *desc, GRand *rand);

#endif
