/*
 * Buffer of a body: a part of a byte stream in blocks.
 */
#include <string.h>

#include "body_buffer.h"

/* A block is as large as what is held already, within these bounds. */
#define BLOCK_MIN_BYTES 512U
#define BLOCK_MAX_BYTES 16384U
/* A block with fewer bytes is copied when it is moved to another buffer. */
#define MOVED_MIN_BYTES 4096U

/**
 * struct body_block - a block
 * @node: link in the buffer
 * @len: bytes in use
 * @capacity: bytes allocated
 * @data: the bytes
 */
struct body_block {
	GList node;
	size_t len;
	size_t capacity;
	uint8_t data[];
};

void
body_buffer_init(struct body_buffer *b)
{
	g_queue_init(&b->blocks);
	b->first_bytes = 0;
	b->end_bytes = 0;
	b->held_bytes = 0;
}

static uint64_t
cost_of(const struct body_block *block)
{
	return sizeof(*block) + block->capacity;
}

static struct body_block *
pop_first(struct body_buffer *b)
{
	GList *node = g_queue_pop_head_link(&b->blocks);
	struct body_block *block;

	if (node == NULL)
		return NULL;
	block = node->data;
	b->first_bytes += block->len;
	b->held_bytes -= cost_of(block);
	return block;
}

void
body_buffer_clear(struct body_buffer *b)
{
	struct body_block *block;

	while ((block = pop_first(b)) != NULL)
		g_free(block);
}

static void
push_last(struct body_buffer *b, struct body_block *block)
{
	g_queue_push_tail_link(&b->blocks, &block->node);
	b->held_bytes += cost_of(block);
	b->end_bytes += block->len;
}

static struct body_block *
block_new(const struct body_buffer *b, const uint8_t *data, size_t len)
{
	size_t capacity =
	    CLAMP(b->held_bytes, BLOCK_MIN_BYTES, BLOCK_MAX_BYTES);
	struct body_block *block;

	capacity = MAX(capacity, len);
	block = g_malloc(sizeof(*block) + capacity);
	block->node = (GList){.data = block};
	block->capacity = capacity;
	block->len = len;
	memcpy(block->data, data, len);
	return block;
}

/* Return: the number of bytes that the last block had room for. */
static size_t
fill_last(struct body_buffer *b, const uint8_t *data, size_t len)
{
	struct body_block *last = g_queue_peek_tail(&b->blocks);
	size_t n;

	if (last == NULL)
		return 0;
	n = MIN(len, last->capacity - last->len);
	memcpy(last->data + last->len, data, n);
	last->len += n;
	b->end_bytes += n;
	return n;
}

void
body_buffer_append(struct body_buffer *b, const uint8_t *data, size_t len)
{
	size_t n = fill_last(b, data, len);

	if (n < len)
		push_last(b, block_new(b, data + n, len - n));
}

const uint8_t *
body_buffer_at(const struct body_buffer *b, uint64_t at_bytes, size_t *len)
{
	uint64_t from = b->first_bytes;
	const struct body_block *block;
	const GList *l;

	for (l = b->blocks.head; l != NULL; l = l->next) {
		block = l->data;
		if (at_bytes < from + block->len) {
			*len = (size_t)(from + block->len - at_bytes);
			return block->data + (at_bytes - from);
		}
		from += block->len;
	}
	*len = 0;
	return NULL;
}

void
body_buffer_copy(const struct body_buffer *b, size_t max_bytes, GByteArray *out)
{
	uint64_t at_bytes = b->first_bytes;
	const uint8_t *data;
	size_t len;

	while (max_bytes > 0 &&
	    (data = body_buffer_at(b, at_bytes, &len)) != NULL) {
		len = MIN(len, max_bytes);
		g_byte_array_append(out, data, (guint)len);
		at_bytes += len;
		max_bytes -= len;
	}
}

void
body_buffer_release(struct body_buffer *b, uint64_t to_bytes)
{
	const struct body_block *first;

	while ((first = g_queue_peek_head(&b->blocks)) != NULL &&
	    b->first_bytes + first->len <= to_bytes)
		g_free(pop_first(b));
}

/* A block that is moved is filled no further. */
static struct body_block *
shrink(struct body_block *block)
{
	block->capacity = block->len;
	block = g_realloc(block, sizeof(*block) + block->capacity);
	block->node.data = block;
	return block;
}

size_t
body_buffer_move(struct body_buffer *to, struct body_buffer *from)
{
	struct body_block *block = pop_first(from);
	size_t len;

	if (block == NULL)
		return 0;
	len = block->len;
	if (len >= MOVED_MIN_BYTES) {
		push_last(to, shrink(block));
		return len;
	}
	body_buffer_append(to, block->data, len);
	g_free(block);
	return len;
}

uint64_t
body_buffer_bytes(const struct body_buffer *b)
{
	return b->end_bytes - b->first_bytes;
}
