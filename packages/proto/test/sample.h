/*
 * Samples: structs filled from their tables with values from a seed.
 */
#ifndef PROTO_TEST_SAMPLE_H
#define PROTO_TEST_SAMPLE_H

#include <glib.h>

#include "proto/codec.h"

/* One past the last number that sample_desc() takes. */
#define SAMPLE_TYPES 257

/**
 * sample_desc() - table of what a looped test runs for
 * @i: type of a message, or SAMPLE_TYPES - 1 for a struct of the tests with
 *	a field of every kind
 *
 * Return: the table, NULL when no message has the type.
 */
const struct codec_desc *sample_desc(int i);

/**
 * sample_encoded() - the encoding of a sample
 * @desc: table of the struct
 * @rand: where values come from
 *
 * Return: the encoding; free with g_byte_array_unref().
 */
GByteArray *sample_encoded(const struct codec_desc *desc, GRand *rand);

#endif
