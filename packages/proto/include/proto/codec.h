/*
 * Table-driven codec between C structs and msgpack.
 *
 * The tables are generated from schema/ (see proto/gen/) and are used through
 * the msg_*_encode(), msg_*_decode() and msg_*_clear() functions there.  A
 * struct is encoded as a msgpack array of its fields in order.  The decoder
 * ignores elements after the last known field and sets missing fields to zero,
 * so that new fields can be added at the end.
 */
#ifndef PROTO_CODEC_H
#define PROTO_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/status.h"

/**
 * enum codec_kind - type of a field
 * @CODEC_U8: uint8_t
 * @CODEC_U16: uint16_t
 * @CODEC_U32: uint32_t
 * @CODEC_U64: uint64_t
 * @CODEC_I64: int64_t
 * @CODEC_BOOL: bool
 * @CODEC_ENUM: an enum with consecutive values from 0
 * @CODEC_DIGEST: struct digest
 * @CODEC_STR: char array, zero-terminated
 * @CODEC_BYTES: borrowed pointer and length
 * @CODEC_TEXT: borrowed pointer and length of text
 * @CODEC_STRUCT: nested struct
 * @CODEC_LIST: owned pointer and count
 */
enum codec_kind {
	CODEC_U8 = 0,
	CODEC_U16,
	CODEC_U32,
	CODEC_U64,
	CODEC_I64,
	CODEC_BOOL,
	CODEC_ENUM,
	CODEC_DIGEST,
	CODEC_STR,
	CODEC_BYTES,
	CODEC_TEXT,
	CODEC_STRUCT,
	CODEC_LIST,
};

struct codec_desc;

/**
 * struct codec_field - one field of a struct
 * @name: name, for error messages
 * @kind: type
 * @item: type of the elements of a list
 * @offset: offset of the field in the struct
 * @len_offset: offset of the length or count (bytes, text, list)
 * @max: maximum length or count (str, bytes, text, list)
 * @item_bytes: size of a list element in memory
 * @values: number of values of an enum or of an enum in a list
 * @of: table of the nested struct or of the list elements
 */
struct codec_field {
	const char *name;
	enum codec_kind kind;
	enum codec_kind item;
	uint32_t offset;
	uint32_t len_offset;
	uint32_t max;
	uint32_t item_bytes;
	uint32_t values;
	const struct codec_desc *of;
};

/**
 * struct codec_desc - codec table of a struct
 * @name: name, for error messages
 * @fields: fields in wire order
 * @n_fields: number of fields
 * @size_bytes: size of the struct in memory
 */
struct codec_desc {
	const char *name;
	const struct codec_field *fields;
	uint32_t n_fields;
	uint32_t size_bytes;
};

/**
 * codec_encode() - append the encoding of a struct to a byte array
 * @desc: table of the struct
 * @obj: the struct; must respect the maxima of its table
 * @out: the byte array
 */
void
codec_encode(const struct codec_desc *desc, const void *obj, GByteArray *out);

/**
 * codec_decode() - decode a struct from untrusted data
 * @desc: table of the struct
 * @data: the bytes; validated with proto_check() first
 * @len: number of bytes
 * @obj: receives the struct; bytes and text fields borrow from @data, lists
 *	are owned.  All zero on failure, else free it with codec_clear().
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE or STATUS_INVALID.
 */
enum status codec_decode(
    const struct codec_desc *desc, const uint8_t *data, size_t len, void *obj);

/**
 * codec_clear() - free the lists of a struct and zero the struct
 * @desc: table of the struct
 * @obj: the struct
 */
void codec_clear(const struct codec_desc *desc, void *obj);

/** codec_value_name() - names[v], or "unknown" when @v is not below @n */
const char *codec_value_name(const char *const *names, uint32_t n, uint32_t v);

#endif
