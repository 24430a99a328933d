/*
 * Validation of untrusted msgpack in a single pass with a stack of fixed
 * depth.
 */
#include "proto/check.h"

/* First bytes of msgpack objects. */
enum {
	FIXMAP = 0x80,
	FIXARRAY = 0x90,
	FIXSTR = 0xa0,
	NIL = 0xc0,
	RESERVED = 0xc1,
	FALSE_ = 0xc2,
	TRUE_ = 0xc3,
	BIN8 = 0xc4,
	BIN16 = 0xc5,
	BIN32 = 0xc6,
	UINT8 = 0xcc,
	UINT16 = 0xcd,
	UINT32 = 0xce,
	UINT64 = 0xcf,
	INT8 = 0xd0,
	INT16 = 0xd1,
	INT32 = 0xd2,
	INT64 = 0xd3,
	STR8 = 0xd9,
	STR16 = 0xda,
	STR32 = 0xdb,
	ARRAY16 = 0xdc,
	ARRAY32 = 0xdd,
	MAP16 = 0xde,
	MAP32 = 0xdf,
	NEGATIVE_FIXINT = 0xe0,
};

/* Data that follows a first byte. */
enum shape {
	SHAPE_PLAIN,	 /* a payload of fixed size */
	SHAPE_SIZED,	 /* a size field followed by the payload */
	SHAPE_ARRAY,	 /* a count of elements */
	SHAPE_MAP,	 /* a count of pairs */
	SHAPE_FORBIDDEN, /* a type that no message uses */
};

/*
 * Shape of a first byte from 0xc0 to 0xdf; width is the size in bytes of its
 * payload, size field or count.
 */
struct format {
	uint8_t shape;
	uint8_t width;
};

#define FORMATS_FIRST 0xc0

static const struct format formats[NEGATIVE_FIXINT - FORMATS_FIRST] = {
    [NIL - FORMATS_FIRST] = {SHAPE_PLAIN, 0},
    [RESERVED - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [FALSE_ - FORMATS_FIRST] = {SHAPE_PLAIN, 0},
    [TRUE_ - FORMATS_FIRST] = {SHAPE_PLAIN, 0},
    [BIN8 - FORMATS_FIRST] = {SHAPE_SIZED, 1},
    [BIN16 - FORMATS_FIRST] = {SHAPE_SIZED, 2},
    [BIN32 - FORMATS_FIRST] = {SHAPE_SIZED, 4},
    /* ext 8 to ext 32, float 32 and float 64 */
    [0xc7 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xc8 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xc9 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xca - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xcb - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [UINT8 - FORMATS_FIRST] = {SHAPE_PLAIN, 1},
    [UINT16 - FORMATS_FIRST] = {SHAPE_PLAIN, 2},
    [UINT32 - FORMATS_FIRST] = {SHAPE_PLAIN, 4},
    [UINT64 - FORMATS_FIRST] = {SHAPE_PLAIN, 8},
    [INT8 - FORMATS_FIRST] = {SHAPE_PLAIN, 1},
    [INT16 - FORMATS_FIRST] = {SHAPE_PLAIN, 2},
    [INT32 - FORMATS_FIRST] = {SHAPE_PLAIN, 4},
    [INT64 - FORMATS_FIRST] = {SHAPE_PLAIN, 8},
    /* fixext 1 to fixext 16 */
    [0xd4 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xd5 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xd6 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xd7 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [0xd8 - FORMATS_FIRST] = {SHAPE_FORBIDDEN, 0},
    [STR8 - FORMATS_FIRST] = {SHAPE_SIZED, 1},
    [STR16 - FORMATS_FIRST] = {SHAPE_SIZED, 2},
    [STR32 - FORMATS_FIRST] = {SHAPE_SIZED, 4},
    [ARRAY16 - FORMATS_FIRST] = {SHAPE_ARRAY, 2},
    [ARRAY32 - FORMATS_FIRST] = {SHAPE_ARRAY, 4},
    [MAP16 - FORMATS_FIRST] = {SHAPE_MAP, 2},
    [MAP32 - FORMATS_FIRST] = {SHAPE_MAP, 4},
};

#define FIXCOUNT_MASK 0x0f
#define FIXSTR_MASK 0x1f

/* State of the pass: bytes left, and elements left of each open container. */
struct walk {
	const uint8_t *next;
	size_t left;
	uint64_t remaining[PROTO_DEPTH_MAX + 1];
	int depth;
};

/* An object: its shape, and the size of its payload or its element count. */
struct item {
	enum shape shape;
	uint64_t value;
};

static enum status
error_truncated(void)
{
	return status_set(STATUS_INVALID,
	    "A message is truncated or declares more elements than it has "
	    "bytes; the sender may not be a node.");
}

static enum status
read_number(struct walk *w, unsigned int width, uint64_t *v)
{
	unsigned int i;

	if (w->left < width)
		return error_truncated();
	*v = 0;
	for (i = 0; i < width; i++)
		*v = *v << 8 | w->next[i];
	w->next += width;
	w->left -= width;
	return STATUS_OK;
}

static enum status
read_format(struct walk *w, uint8_t type_byte, struct item *it)
{
	const struct format *format = &formats[type_byte - FORMATS_FIRST];

	it->shape = format->shape;
	it->value = format->width;
	if (format->shape == SHAPE_PLAIN)
		return STATUS_OK;
	if (format->shape == SHAPE_FORBIDDEN)
		return status_set(STATUS_INVALID,
		    "A message contains msgpack type 0x%02x, which no message "
		    "uses; the sender may not be a node.",
		    type_byte);
	return read_number(w, format->width, &it->value);
}

/* Reads the first byte and the size or count of the next object. */
static enum status
read_item(struct walk *w, struct item *it)
{
	uint8_t type_byte;

	if (w->left == 0)
		return error_truncated();
	type_byte = *w->next++;
	w->left--;
	it->value = 0;
	it->shape = SHAPE_PLAIN;
	if (type_byte < FIXMAP || type_byte >= NEGATIVE_FIXINT)
		return STATUS_OK;
	if (type_byte >= NIL)
		return read_format(w, type_byte, it);
	if (type_byte >= FIXSTR) {
		it->value = type_byte & FIXSTR_MASK;
		return STATUS_OK;
	}
	it->shape = type_byte >= FIXARRAY ? SHAPE_ARRAY : SHAPE_MAP;
	it->value = type_byte & FIXCOUNT_MASK;
	return STATUS_OK;
}

static enum status
open_container(struct walk *w, const struct item *it)
{
	uint64_t n = it->shape == SHAPE_MAP ? 2 * it->value : it->value;

	if (w->depth == PROTO_DEPTH_MAX)
		return status_set(STATUS_INVALID,
		    "A message is nested more than %d levels deep; the sender "
		    "may not be a node.",
		    PROTO_DEPTH_MAX);
	if (n > w->left)
		return error_truncated();
	w->remaining[++w->depth] = n;
	return STATUS_OK;
}

static enum status
skip_payload(struct walk *w, uint64_t n)
{
	if (n > w->left)
		return error_truncated();
	w->next += n;
	w->left -= (size_t)n;
	return STATUS_OK;
}

/* Checks one object; further calls check the elements of a container. */
static enum status
check_object(struct walk *w)
{
	struct item it = {SHAPE_FORBIDDEN, 0};
	enum status st;

	st = read_item(w, &it);
	if (st != STATUS_OK)
		return st;
	w->remaining[w->depth]--;
	if (it.shape == SHAPE_ARRAY || it.shape == SHAPE_MAP)
		return open_container(w, &it);
	return skip_payload(w, it.value);
}

enum status
proto_check(const uint8_t *data, size_t len)
{
	struct walk w = {.next = data, .left = len, .remaining = {1}};
	enum status st = STATUS_OK;

	if (len > PROTO_BODY_MAX_BYTES)
		return status_set(STATUS_TOO_LARGE,
		    "A message of %zu bytes exceeds the limit of %u; split it.",
		    len, PROTO_BODY_MAX_BYTES);
	while (st == STATUS_OK && w.depth >= 0) {
		if (w.remaining[w.depth] == 0)
			w.depth--;
		else
			st = check_object(&w);
	}
	if (st == STATUS_OK && w.left > 0)
		return status_set(STATUS_INVALID,
		    "A message is followed by %zu excess bytes; the sender may "
		    "not be a node.",
		    w.left);
	return st;
}
