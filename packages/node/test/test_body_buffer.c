/*
 * Tests of the buffer of a body: its memory follows the bytes, and offsets stay
 * valid while blocks move and are released.
 */
#include <string.h>

#include <check.h>

#include "body_buffer.h"
#include "test_run.h"

#define BYTES 100000U

static struct body_buffer buffer;

static void
setup(void)
{
	body_buffer_init(&buffer);
}

static void
teardown(void)
{
	body_buffer_clear(&buffer);
	ck_assert_uint_eq(buffer.held_bytes, 0);
}

static uint8_t
byte_at(uint64_t offset)
{
	return (uint8_t)(offset * 31 % 251);
}

static void
fill(struct body_buffer *b, size_t piece, size_t total)
{
	uint8_t *data = g_malloc(piece);
	size_t i;

	while (b->end_bytes < total) {
		for (i = 0; i < piece; i++)
			data[i] = byte_at(b->end_bytes + i);
		body_buffer_append(b, data, piece);
	}
	g_free(data);
}

static void
check_from(const struct body_buffer *b, uint64_t at)
{
	const uint8_t *data;
	size_t i, len;

	while ((data = body_buffer_at(b, at, &len)) != NULL) {
		ck_assert_uint_gt(len, 0);
		for (i = 0; i < len && data[i] == byte_at(at + i);)
			i++;
		ck_assert_uint_eq(i, len);
		at += len;
	}
	ck_assert_uint_eq(at, b->end_bytes);
}

/* Guards against pieces that cost many times their bytes. */
START_TEST(memory_follows_the_bytes)
{
	static const size_t pieces[] = {1, 7, 100, 1460, 16384, 32768};

	fill(&buffer, pieces[_i], BYTES);
	ck_assert_uint_le(buffer.held_bytes, 2 * buffer.end_bytes);
	check_from(&buffer, 0);
}
END_TEST

START_TEST(small_body_takes_little_memory)
{
	body_buffer_append(&buffer, (const uint8_t *)"x", 1);
	ck_assert_uint_le(buffer.held_bytes, 1024);
}
END_TEST

START_TEST(offsets_stay_valid_behind_released_blocks)
{
	uint64_t at;

	fill(&buffer, 100, BYTES);
	for (at = 0; at < BYTES; at += 977) {
		body_buffer_release(&buffer, at);
		ck_assert_uint_le(buffer.first_bytes, at);
		check_from(&buffer, at);
	}
	body_buffer_release(&buffer, buffer.end_bytes);
	ck_assert_uint_eq(buffer.held_bytes, 0);
	ck_assert_uint_eq(body_buffer_bytes(&buffer), 0);
}
END_TEST

/* Guards against blocks with a few bytes that are moved one by one. */
START_TEST(moved_bytes_keep_their_order_and_share_blocks)
{
	struct body_buffer from;
	size_t moved = 0, n;

	body_buffer_init(&from);
	while (buffer.end_bytes < BYTES) {
		fill(&from, 1, from.end_bytes + 1);
		while ((n = body_buffer_move(&buffer, &from)) > 0)
			moved += n;
	}
	ck_assert_uint_eq(moved, BYTES);
	ck_assert_uint_eq(from.held_bytes, 0);
	ck_assert_uint_le(buffer.held_bytes, 2 * buffer.end_bytes);
	check_from(&buffer, 0);
	body_buffer_clear(&from);
}
END_TEST

START_TEST(copy_takes_the_first_bytes)
{
	GByteArray *out = g_byte_array_new();
	guint i;

	fill(&buffer, 100, BYTES);
	body_buffer_copy(&buffer, 50001, out);
	ck_assert_uint_eq(out->len, 50001);
	for (i = 0; i < out->len; i++)
		ck_assert_uint_eq(out->data[i], byte_at(i));
	g_byte_array_free(out, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("body_buffer");
	TCase *tc = tcase_create("body_buffer");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, memory_follows_the_bytes, 0, 6);
	tcase_add_test(tc, small_body_takes_little_memory);
	tcase_add_test(tc, offsets_stay_valid_behind_released_blocks);
	tcase_add_test(tc, moved_bytes_keep_their_order_and_share_blocks);
	tcase_add_test(tc, copy_takes_the_first_bytes);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
