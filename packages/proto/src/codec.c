/*
 * Codec, implemented with msgpack-c.
 */
#include <stdbool.h>
#include <string.h>

#include <msgpack.h>

#include "base/hash.h"
#include "proto/check.h"
#include "proto/codec.h"

/* Struct and field that are being decoded, for error messages. */
struct codec_location {
	const char *desc;
	const char *field;
};

static int
codec_write(void *data, const char *buf, size_t len)
{
	(void)g_byte_array_append(data, (const guint8 *)buf, (guint)len);
	return 0;
}

static uint32_t
load_u32(const void *obj, uint32_t offset)
{
	uint32_t v;

	memcpy(&v, (const char *)obj + offset, sizeof(v));
	return v;
}

static void
store_u32(void *obj, uint32_t offset, uint32_t v)
{
	memcpy((char *)obj + offset, &v, sizeof(v));
}

static const void *
load_pointer(const void *obj, uint32_t offset)
{
	const void *p;

	memcpy(&p, (const char *)obj + offset, sizeof(p));
	return p;
}

static void
store_pointer(void *obj, uint32_t offset, const void *p)
{
	memcpy((char *)obj + offset, &p, sizeof(p));
}

static void
pack_bytes(msgpack_packer *pk, const void *p, size_t len)
{
	(void)msgpack_pack_bin(pk, len);
	(void)msgpack_pack_bin_body(pk, p, len);
}

static void
pack_text(msgpack_packer *pk, const void *p, size_t len)
{
	(void)msgpack_pack_str(pk, len);
	(void)msgpack_pack_str_body(pk, p, len);
}

static void
pack_bool(msgpack_packer *pk, bool v)
{
	if (v)
		(void)msgpack_pack_true(pk);
	else
		(void)msgpack_pack_false(pk);
}

/* Packs a value whose type alone determines its encoding. */
static void
pack_scalar(msgpack_packer *pk, enum codec_kind kind, const void *p)
{
	switch (kind) {
	case CODEC_U8:
		(void)msgpack_pack_uint8(pk, *(const uint8_t *)p);
		break;
	case CODEC_U16:
		(void)msgpack_pack_uint16(pk, *(const uint16_t *)p);
		break;
	case CODEC_U32:
		(void)msgpack_pack_uint32(pk, *(const uint32_t *)p);
		break;
	case CODEC_U64:
		(void)msgpack_pack_uint64(pk, *(const uint64_t *)p);
		break;
	case CODEC_I64:
		(void)msgpack_pack_int64(pk, *(const int64_t *)p);
		break;
	case CODEC_BOOL:
		pack_bool(pk, *(const bool *)p);
		break;
	case CODEC_ENUM:
		(void)msgpack_pack_uint8(pk, (uint8_t)load_u32(p, 0));
		break;
	case CODEC_DIGEST:
		pack_bytes(pk, p, DIGEST_BYTES);
		break;
	default:
		g_assert_not_reached();
	}
}

static void
pack_struct(msgpack_packer *pk, const struct codec_desc *desc, const void *obj);

static void
pack_list(msgpack_packer *pk, const struct codec_field *f, const void *obj)
{
	const char *items = load_pointer(obj, f->offset);
	uint32_t i, n = load_u32(obj, f->len_offset);

	(void)msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		if (f->item == CODEC_STRUCT)
			pack_struct(pk, f->of, items);
		else
			pack_scalar(pk, f->item, items);
		items += f->item_bytes;
	}
}

static void
pack_field(msgpack_packer *pk, const struct codec_field *f, const void *obj)
{
	const char *p = (const char *)obj + f->offset;

	switch (f->kind) {
	case CODEC_STR:
		pack_text(pk, p, strnlen(p, f->max));
		break;
	case CODEC_BYTES:
		pack_bytes(pk, load_pointer(obj, f->offset),
		    load_u32(obj, f->len_offset));
		break;
	case CODEC_TEXT:
		pack_text(pk, load_pointer(obj, f->offset),
		    load_u32(obj, f->len_offset));
		break;
	case CODEC_STRUCT:
		pack_struct(pk, f->of, p);
		break;
	case CODEC_LIST:
		pack_list(pk, f, obj);
		break;
	default:
		pack_scalar(pk, f->kind, p);
		break;
	}
}

static void
pack_struct(msgpack_packer *pk, const struct codec_desc *desc, const void *obj)
{
	uint32_t i;

	(void)msgpack_pack_array(pk, desc->n_fields);
	for (i = 0; i < desc->n_fields; i++)
		pack_field(pk, &desc->fields[i], obj);
}

void
codec_encode(const struct codec_desc *desc, const void *obj, GByteArray *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_write);
	pack_struct(&pk, desc, obj);
}

static enum status
error_type(const struct codec_location *at, const char *expected)
{
	return status_set(STATUS_INVALID,
	    "Message %s: field %s must be %s; the sender may run another "
	    "release or not be a node.",
	    at->desc, at->field, expected);
}

static enum status
error_length(const struct codec_location *at, uint64_t len, uint32_t max)
{
	return status_set(STATUS_INVALID,
	    "Message %s: field %s has %llu elements or bytes, at most %u are "
	    "allowed; the sender may run another release or not be a node.",
	    at->desc, at->field, (unsigned long long)len, max);
}

static enum status
read_unsigned(const struct codec_location *at, const msgpack_object *o,
    uint64_t max, uint64_t *v)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return error_type(at, "an integer of at least 0");
	if (o->via.u64 > max)
		return error_type(at, "an integer within its range");
	*v = o->via.u64;
	return STATUS_OK;
}

static enum status
read_signed(
    const struct codec_location *at, const msgpack_object *o, int64_t *v)
{
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*v = o->via.i64;
		return STATUS_OK;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return error_type(at, "a signed integer of 64 bits");
	*v = (int64_t)o->via.u64;
	return STATUS_OK;
}

static enum status
read_digest(const struct codec_location *at, const msgpack_object *o, void *p)
{
	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != DIGEST_BYTES)
		return error_type(at, "a digest of 32 bytes");
	memcpy(p, o->via.bin.ptr, DIGEST_BYTES);
	return STATUS_OK;
}

/* Maximum of an unsigned kind; @values is the number of values of an enum. */
static uint64_t
unsigned_max(enum codec_kind kind, uint32_t values)
{
	switch (kind) {
	case CODEC_U8:
		return UINT8_MAX;
	case CODEC_U16:
		return UINT16_MAX;
	case CODEC_U32:
		return UINT32_MAX;
	case CODEC_ENUM:
		return values - 1;
	default:
		return UINT64_MAX;
	}
}

static void
store_unsigned(enum codec_kind kind, void *p, uint64_t v)
{
	switch (kind) {
	case CODEC_U8:
		*(uint8_t *)p = (uint8_t)v;
		break;
	case CODEC_U16:
		*(uint16_t *)p = (uint16_t)v;
		break;
	case CODEC_U32:
	case CODEC_ENUM:
		store_u32(p, 0, (uint32_t)v);
		break;
	default:
		*(uint64_t *)p = v;
		break;
	}
}

static enum status
read_scalar(const struct codec_location *at, enum codec_kind kind,
    uint32_t values, const msgpack_object *o, void *p)
{
	enum status st;
	uint64_t v = 0;

	if (kind == CODEC_DIGEST)
		return read_digest(at, o, p);
	if (kind == CODEC_I64)
		return read_signed(at, o, p);
	if (kind == CODEC_BOOL) {
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return error_type(at, "true or false");
		*(bool *)p = o->via.boolean;
		return STATUS_OK;
	}
	st = read_unsigned(at, o, unsigned_max(kind, values), &v);
	if (st == STATUS_OK)
		store_unsigned(kind, p, v);
	return st;
}

static enum status
read_str(const struct codec_location *at, const struct codec_field *f,
    const msgpack_object *o, char *p)
{
	if (o->type != MSGPACK_OBJECT_STR)
		return error_type(at, "text");
	if (o->via.str.size > f->max)
		return error_length(at, o->via.str.size, f->max);
	if (o->via.str.size == 0)
		return STATUS_OK;
	if (memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)
		return error_type(at, "text without a zero byte");
	memcpy(p, o->via.str.ptr, o->via.str.size);
	return STATUS_OK;
}

static enum status
read_borrowed(const struct codec_location *at, const struct codec_field *f,
    const msgpack_object *o, void *obj)
{
	int text = f->kind == CODEC_TEXT;

	if (text && o->type != MSGPACK_OBJECT_STR)
		return error_type(at, "text");
	if (!text && o->type != MSGPACK_OBJECT_BIN)
		return error_type(at, "binary data");
	/* str and bin have the same layout in the union. */
	if (o->via.bin.size > f->max)
		return error_length(at, o->via.bin.size, f->max);
	store_pointer(obj, f->offset, o->via.bin.ptr);
	store_u32(obj, f->len_offset, o->via.bin.size);
	return STATUS_OK;
}

static enum status read_struct(const struct codec_location *at,
    const struct codec_desc *desc, const msgpack_object *o, void *obj);

static enum status
read_list(const struct codec_location *at, const struct codec_field *f,
    const msgpack_object *o, void *obj)
{
	enum status st = STATUS_OK;
	uint32_t i, n;
	char *items;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return error_type(at, "a list");
	n = o->via.array.size;
	if (n > f->max)
		return error_length(at, n, f->max);
	items = g_malloc0_n(n, f->item_bytes);
	store_pointer(obj, f->offset, items);
	store_u32(obj, f->len_offset, n);
	for (i = 0; i < n && st == STATUS_OK; i++) {
		if (f->item == CODEC_STRUCT)
			st =
			    read_struct(at, f->of, &o->via.array.ptr[i], items);
		else
			st = read_scalar(at, f->item, f->values,
			    &o->via.array.ptr[i], items);
		items += f->item_bytes;
	}
	return st;
}

static enum status
read_field(const struct codec_location *at, const struct codec_field *f,
    const msgpack_object *o, void *obj)
{
	char *p = (char *)obj + f->offset;

	switch (f->kind) {
	case CODEC_STR:
		return read_str(at, f, o, p);
	case CODEC_BYTES:
	case CODEC_TEXT:
		return read_borrowed(at, f, o, obj);
	case CODEC_STRUCT:
		return read_struct(at, f->of, o, p);
	case CODEC_LIST:
		return read_list(at, f, o, obj);
	default:
		return read_scalar(at, f->kind, f->values, o, p);
	}
}

static enum status
read_struct(const struct codec_location *at, const struct codec_desc *desc,
    const msgpack_object *o, void *obj)
{
	struct codec_location inner = {desc->name, ""};
	enum status st = STATUS_OK;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return error_type(at, "a struct");
	for (i = 0; i < desc->n_fields && st == STATUS_OK; i++) {
		if (i == o->via.array.size)
			break;
		inner.field = desc->fields[i].name;
		st = read_field(
		    &inner, &desc->fields[i], &o->via.array.ptr[i], obj);
	}
	return st;
}

enum status
codec_decode(
    const struct codec_desc *desc, const uint8_t *data, size_t len, void *obj)
{
	struct codec_location at = {desc->name, "(whole)"};
	msgpack_object root;
	msgpack_zone zone;
	enum status st;
	size_t off = 0;

	memset(obj, 0, desc->size_bytes);
	st = proto_check(data, len);
	if (st != STATUS_OK)
		return st;
	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE))
		return status_set(STATUS_NO_MEMORY,
		    "Out of memory while decoding a message; raise the "
		    "memory limit of the process.");
	if (msgpack_unpack((const char *)data, len, &off, &zone, &root) ==
	    MSGPACK_UNPACK_SUCCESS)
		st = read_struct(&at, desc, &root, obj);
	else
		st = error_type(&at, "one msgpack object");
	msgpack_zone_destroy(&zone);
	if (st != STATUS_OK)
		codec_clear(desc, obj);
	return st;
}

static void
clear_list(const struct codec_field *f, void *obj)
{
	void *items = (void *)load_pointer(obj, f->offset);
	uint32_t i, n = load_u32(obj, f->len_offset);

	for (i = 0; f->item == CODEC_STRUCT && i < n; i++)
		codec_clear(f->of, (char *)items + (size_t)i * f->item_bytes);
	g_free(items);
}

void
codec_clear(const struct codec_desc *desc, void *obj)
{
	const struct codec_field *f;
	uint32_t i;

	for (i = 0; i < desc->n_fields; i++) {
		f = &desc->fields[i];
		if (f->kind == CODEC_LIST)
			clear_list(f, obj);
		else if (f->kind == CODEC_STRUCT)
			codec_clear(f->of, (char *)obj + f->offset);
	}
	memset(obj, 0, desc->size_bytes);
}

const char *
codec_value_name(const char *const *names, uint32_t n, uint32_t v)
{
	return v < n ? names[v] : "unknown";
}
