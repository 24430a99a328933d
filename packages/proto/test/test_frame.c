/*
 * Tests of framing, addresses and the outbox.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "proto/frame.h"
#include "proto/outbox.h"

#include "test_run.h"

#define MAX_BYTES 100

static const uint8_t body[] = "body";

static GByteArray *
two_frames(void)
{
	GByteArray *out = g_byte_array_new();

	frame_append(out, MSG_CALL_OPEN, body, sizeof(body));
	frame_append(out, MSG_CALL_PING, NULL, 0);
	return out;
}

START_TEST(frame_has_its_length_in_front)
{
	static const uint8_t want[] = {0, 0, 0, 6, MSG_CALL_OPEN, 'b', 'o', 'd',
	    'y', 0, 0, 0, 0, 1, MSG_CALL_PING};
	GByteArray *out = two_frames();

	ck_assert_uint_eq(out->len, sizeof(want));
	ck_assert_mem_eq(out->data, want, sizeof(want));
	g_byte_array_unref(out);
}
END_TEST

/* The loop index is the chunk size in which the stream is pushed. */
START_TEST(reader_accepts_any_chunk_size)
{
	GByteArray *in = two_frames();
	struct frame_reader r;
	guint at, n, seen = 0;
	struct frame f;

	frame_reader_init(&r, MAX_BYTES);
	for (at = 0; at < in->len; at += n) {
		n = MIN((guint)_i, in->len - at);
		frame_reader_push(&r, in->data + at, n);
		while (frame_reader_next(&r, &f) == FRAME_READY) {
			ck_assert_uint_eq(
			    f.type, seen == 0 ? MSG_CALL_OPEN : MSG_CALL_PING);
			ck_assert_uint_eq(
			    f.body_len, seen == 0 ? sizeof(body) : 0);
			ck_assert_mem_eq(f.body, body, f.body_len);
			seen++;
		}
	}
	ck_assert_uint_eq(seen, 2);
	frame_reader_clear(&r);
	g_byte_array_unref(in);
}
END_TEST

struct length_row {
	uint8_t length[FRAME_LENGTH_BYTES];
	enum frame_result want;
};

static const struct length_row length_rows[] = {
    {{0, 0, 0, 0}, FRAME_BAD},
    {{0, 0, 0, 1}, FRAME_NONE},
    {{0, 0, 0, MAX_BYTES}, FRAME_NONE},
    {{0, 0, 0, MAX_BYTES + 1}, FRAME_BAD},
    {{0xff, 0xff, 0xff, 0xff}, FRAME_BAD},
};

START_TEST(reader_rejects_lengths)
{
	const struct length_row *row = &length_rows[_i];
	GByteArray *valid = two_frames();
	struct frame_reader r;
	struct frame f;

	frame_reader_init(&r, MAX_BYTES);
	frame_reader_push(&r, row->length, sizeof(row->length));
	ck_assert_int_eq(frame_reader_next(&r, &f), row->want);
	if (row->want == FRAME_BAD) {
		/* The reader keeps failing when valid frames follow. */
		frame_reader_push(&r, valid->data, valid->len);
		ck_assert_int_eq(frame_reader_next(&r, &f), FRAME_BAD);
	}
	frame_reader_clear(&r);
	g_byte_array_unref(valid);
}
END_TEST

/* The buffer of a large frame is freed once the reader is empty. */
START_TEST(reader_shrinks)
{
	enum { LARGE = 1 << 20 };
	uint8_t *large = g_malloc0(LARGE);
	GByteArray *out = g_byte_array_new();
	struct frame_reader r;
	struct frame f;

	frame_append(out, MSG_SECTIONS, large, LARGE);
	frame_reader_init(&r, 2 * LARGE);
	frame_reader_push(&r, out->data, out->len);
	ck_assert_int_eq(frame_reader_next(&r, &f), FRAME_READY);
	ck_assert_uint_eq(f.body_len, LARGE);
	(void)frame_reader_space(&r, 1);
	ck_assert_uint_lt(r.capacity, LARGE);
	frame_reader_clear(&r);
	g_byte_array_unref(out);
	g_free(large);
}
END_TEST

START_TEST(datagrams)
{
	GByteArray *out = g_byte_array_new();
	struct frame f;

	datagram_append(out, MSG_PING, body, sizeof(body));
	ck_assert_int_eq(datagram_parse(out->data, out->len, &f), STATUS_OK);
	ck_assert_uint_eq(f.type, MSG_PING);
	ck_assert_uint_eq(f.body_len, sizeof(body));
	ck_assert_mem_eq(f.body, body, sizeof(body));
	ck_assert_int_eq(datagram_parse(out->data, 0, &f), STATUS_INVALID);
	g_byte_array_unref(out);
}
END_TEST

struct addr_row {
	const char *text;
	uint32_t ip;
	uint16_t port;
};

/* Port 0 marks texts that must be rejected. */
static const struct addr_row addr_rows[] = {
    {"127.0.0.1:80", 0x7f000001, 80},
    {"255.255.255.255:65535", 0xffffffff, 65535},
    {"10.0.0.1:0", 0, 0},
    {"10.0.0.1:65536", 0, 0},
    {"10.0.0.1", 0, 0},
    {"10.0.0.1:", 0, 0},
    {"10.0.0.1:8x", 0, 0},
    {"10.0.0.1:+8", 0, 0},
    {"10.0.0.256:80", 0, 0},
    {"10.0.0:80", 0, 0},
    {":80", 0, 0},
    {"", 0, 0},
    {"localhost:80", 0, 0},
    {"1111111111111111111111111:80", 0, 0},
};

START_TEST(addresses)
{
	const struct addr_row *row = &addr_rows[_i];
	struct net_addr addr = {1, 1};
	char text[ADDR_TEXT_BYTES];
	enum status st = addr_parse(row->text, &addr);

	if (row->port == 0) {
		ck_assert_int_eq(st, STATUS_INVALID);
		ck_assert_uint_eq(addr.ip, 1);
		return;
	}
	ck_assert_int_eq(st, STATUS_OK);
	ck_assert_uint_eq(addr.ip, row->ip);
	ck_assert_uint_eq(addr.port, row->port);
	ck_assert_str_eq(addr_format(&addr, text), row->text);
}
END_TEST

START_TEST(outbox_keeps_order)
{
	struct outbox *o = outbox_new();
	struct net_addr to = {0x7f000001, 7400};
	struct outbox_item *item;

	outbox_datagram(o, &to, MSG_PING, g_byte_array_new());
	outbox_frame(o, &to, 9, MSG_PULL, g_byte_array_new());
	outbox_close(o, &to, 9);
	outbox_close(o, &to, 0);
	ck_assert_uint_eq(outbox_length(o), 4);
	item = outbox_pop(o);
	ck_assert_int_eq(item->kind, OUTBOX_DATAGRAM);
	ck_assert_int_eq(item->type, MSG_PING);
	ck_assert(addr_equal(&item->to, &to));
	outbox_item_free(item);
	item = outbox_pop(o);
	ck_assert_int_eq(item->kind, OUTBOX_FRAME);
	ck_assert_uint_eq(item->conn, 9);
	outbox_item_free(item);
	item = outbox_pop(o);
	ck_assert_int_eq(item->kind, OUTBOX_CLOSE);
	ck_assert_int_eq(item->type, MSG_NONE);
	ck_assert_ptr_null(item->body);
	outbox_item_free(item);
	/* One item is left, which outbox_free() frees. */
	outbox_free(o);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("frame");
	TCase *tc = tcase_create("frame");

	tcase_add_test(tc, frame_has_its_length_in_front);
	tcase_add_loop_test(tc, reader_accepts_any_chunk_size, 1, 17);
	tcase_add_loop_test(
	    tc, reader_rejects_lengths, 0, (int)G_N_ELEMENTS(length_rows));
	tcase_add_test(tc, reader_shrinks);
	tcase_add_test(tc, datagrams);
	tcase_add_loop_test(tc, addresses, 0, (int)G_N_ELEMENTS(addr_rows));
	tcase_add_test(tc, outbox_keeps_order);
	suite_add_tcase(s, tc);
	return test_run(s);
}
