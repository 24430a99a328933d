/*
 * Samples, by a walk over the table.
 */
#include <stdbool.h>
#include <string.h>

#include "base/hash.h"
#include "proto/messages.h"
#include "sample.h"

/* Most elements of a list and bytes of a text in a sample. */
#define SAMPLE_LENGTH 5

#define SINK_VALUES 3

/* A field of every kind, and lists of every kind of element. */
struct sink_item {
	uint64_t *numbers;
	uint32_t n_numbers;
};

struct sink {
	uint8_t u8;
	uint16_t u16;
	uint32_t u32;
	uint64_t u64;
	int64_t i64;
	bool flag;
	uint32_t choice;
	struct digest digest;
	char str[4];
	const uint8_t *bytes;
	uint32_t bytes_len;
	const char *text;
	uint32_t text_len;
	struct sink_item item;
	struct sink_item *items;
	uint32_t n_items;
	uint32_t *choices;
	uint32_t n_choices;
	int64_t *signed_items;
	uint32_t n_signed_items;
	struct digest *digests;
	uint32_t n_digests;
	bool *flags;
	uint32_t n_flags;
};

#define AT(member) .offset = offsetof(struct sink, member)
#define COUNT(member) .len_offset = offsetof(struct sink, member)

static const struct codec_field sink_item_fields[] = {
    {.name = "numbers",
	.kind = CODEC_LIST,
	.item = CODEC_U64,
	.offset = offsetof(struct sink_item, numbers),
	.len_offset = offsetof(struct sink_item, n_numbers),
	.max = 4,
	.item_bytes = sizeof(uint64_t)},
};

static const struct codec_desc sink_item_desc = {.name = "sink_item",
    .fields = sink_item_fields,
    .n_fields = G_N_ELEMENTS(sink_item_fields),
    .size_bytes = sizeof(struct sink_item)};

#define LIST(member, type, ...)                                          \
	{                                                                \
		.name = #member, .kind = CODEC_LIST, AT(member),         \
		COUNT(n_##member), .max = 4, .item_bytes = sizeof(type), \
		__VA_ARGS__                                              \
	}

static const struct codec_field sink_fields[] = {
    {.name = "u8", .kind = CODEC_U8, AT(u8)},
    {.name = "u16", .kind = CODEC_U16, AT(u16)},
    {.name = "u32", .kind = CODEC_U32, AT(u32)},
    {.name = "u64", .kind = CODEC_U64, AT(u64)},
    {.name = "i64", .kind = CODEC_I64, AT(i64)},
    {.name = "flag", .kind = CODEC_BOOL, AT(flag)},
    {.name = "choice", .kind = CODEC_ENUM, AT(choice), .values = SINK_VALUES},
    {.name = "digest", .kind = CODEC_DIGEST, AT(digest)},
    {.name = "str", .kind = CODEC_STR, AT(str), .max = 3},
    {.name = "bytes",
	.kind = CODEC_BYTES,
	AT(bytes),
	COUNT(bytes_len),
	.max = 4},
    {.name = "text", .kind = CODEC_TEXT, AT(text), COUNT(text_len), .max = 4},
    {.name = "item", .kind = CODEC_STRUCT, AT(item), .of = &sink_item_desc},
    LIST(items, struct sink_item, .item = CODEC_STRUCT, .of = &sink_item_desc),
    LIST(choices, uint32_t, .item = CODEC_ENUM, .values = SINK_VALUES),
    LIST(signed_items, int64_t, .item = CODEC_I64),
    LIST(digests, struct digest, .item = CODEC_DIGEST),
    LIST(flags, bool, .item = CODEC_BOOL),
};

static const struct codec_desc sink_desc = {.name = "sink",
    .fields = sink_fields,
    .n_fields = G_N_ELEMENTS(sink_fields),
    .size_bytes = sizeof(struct sink)};

const struct codec_desc *
sample_desc(int i)
{
	return i == SAMPLE_TYPES - 1 ? &sink_desc : msg_desc((unsigned int)i);
}

/* A fill in progress: values, and buffers that borrowed fields point to. */
struct fill {
	GRand *rand;
	GPtrArray *buffers;
};

static void
fill_struct(struct fill *f, const struct codec_desc *desc, void *obj);

static uint64_t
random_u64(struct fill *f)
{
	uint64_t v = (uint64_t)g_rand_int(f->rand) << 32 | g_rand_int(f->rand);

	/* Short and long encodings alike. */
	return v >> g_rand_int_range(f->rand, 0, 64);
}

static uint32_t
random_length(struct fill *f, uint32_t max)
{
	return (uint32_t)g_rand_int_range(
	    f->rand, 0, (gint32)MIN(max, SAMPLE_LENGTH) + 1);
}

static void
fill_text(struct fill *f, char *p, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		p[i] = (char)g_rand_int_range(f->rand, 'a', 'z' + 1);
}

static void
fill_scalar(struct fill *f, enum codec_kind kind, uint32_t values, void *p)
{
	uint64_t v = random_u64(f);

	switch (kind) {
	case CODEC_U8:
		*(uint8_t *)p = (uint8_t)v;
		break;
	case CODEC_U16:
		*(uint16_t *)p = (uint16_t)v;
		break;
	case CODEC_U32:
		*(uint32_t *)p = (uint32_t)v;
		break;
	case CODEC_BOOL:
		*(bool *)p = v & 1;
		break;
	case CODEC_ENUM:
		*(uint32_t *)p = (uint32_t)(v % values);
		break;
	case CODEC_DIGEST:
		hash_digest(&v, sizeof(v), p);
		break;
	case CODEC_I64:
		v = v & 1 ? 0 - v : v;
		memcpy(p, &v, sizeof(v));
		break;
	default:
		*(uint64_t *)p = v;
		break;
	}
}

static void
fill_list(struct fill *f, const struct codec_field *field, void *obj)
{
	uint32_t i, n = random_length(f, field->max);
	char *items = g_malloc0_n(n, field->item_bytes);

	memcpy((char *)obj + field->offset, &items, sizeof(items));
	memcpy((char *)obj + field->len_offset, &n, sizeof(n));
	for (i = 0; i < n; i++) {
		if (field->item == CODEC_STRUCT)
			fill_struct(f, field->of, items);
		else
			fill_scalar(f, field->item, field->values, items);
		items += field->item_bytes;
	}
}

static void
fill_borrowed(struct fill *f, const struct codec_field *field, void *obj)
{
	uint32_t n = random_length(f, field->max);
	char *p = g_malloc(n + 1);

	fill_text(f, p, n);
	g_ptr_array_add(f->buffers, p);
	memcpy((char *)obj + field->offset, &p, sizeof(p));
	memcpy((char *)obj + field->len_offset, &n, sizeof(n));
}

static void
fill_struct(struct fill *f, const struct codec_desc *desc, void *obj)
{
	const struct codec_field *field;
	uint32_t i;
	char *p;

	for (i = 0; i < desc->n_fields; i++) {
		field = &desc->fields[i];
		p = (char *)obj + field->offset;
		if (field->kind == CODEC_STR)
			fill_text(f, p, random_length(f, field->max));
		else if (field->kind == CODEC_LIST)
			fill_list(f, field, obj);
		else if (field->kind == CODEC_STRUCT)
			fill_struct(f, field->of, p);
		else if (field->kind == CODEC_BYTES ||
		    field->kind == CODEC_TEXT)
			fill_borrowed(f, field, obj);
		else
			fill_scalar(f, field->kind, field->values, p);
	}
}

GByteArray *
sample_encoded(const struct codec_desc *desc, GRand *rand)
{
	struct fill f = {rand, g_ptr_array_new_with_free_func(g_free)};
	void *obj = g_malloc0(desc->size_bytes);
	GByteArray *out = g_byte_array_new();

	fill_struct(&f, desc, obj);
	codec_encode(desc, obj, out);
	codec_clear(desc, obj);
	g_free(obj);
	g_ptr_array_unref(f.buffers);
	return out;
}
