/*
 * Benchmark of the codec: time to encode and decode the messages of a call.
 */
#include <stdio.h>

#include "base/clock.h"
#include "proto/messages.h"

#define ROUNDS 500000
#define HEADERS 8
#define NS_PER_US 1000.0

static const uint8_t piece[16384];

static void
fill_open(struct msg_call_open *m, struct rec_header *headers)
{
	static const char name[] = "X-Some-Header";
	static const char value[] = "a value of customary length";
	int i;

	for (i = 0; i < HEADERS; i++) {
		headers[i].name = name;
		headers[i].name_len = sizeof(name) - 1;
		headers[i].value = value;
		headers[i].value_len = sizeof(value) - 1;
	}
	m->stream = 7;
	m->path = "/search?q=expert";
	m->path_len = 16;
	m->headers = headers;
	m->n_headers = HEADERS;
}

static void
bench(const struct codec_desc *desc, const void *obj)
{
	GByteArray *out = g_byte_array_new();
	void *in = g_malloc(MAX(desc->size_bytes, 1));
	uint64_t begin_us, decode_us, encode_us;
	int i;

	begin_us = clock_now_us();
	for (i = 0; i < ROUNDS; i++) {
		(void)g_byte_array_set_size(out, 0);
		codec_encode(desc, obj, out);
	}
	encode_us = clock_now_us() - begin_us;
	begin_us = clock_now_us();
	for (i = 0; i < ROUNDS; i++) {
		(void)codec_decode(desc, out->data, out->len, in);
		codec_clear(desc, in);
	}
	decode_us = clock_now_us() - begin_us;
	(void)printf("%-16s %6u bytes  encode %5.0f ns  decode %5.0f ns\n",
	    desc->name, out->len, (double)encode_us * NS_PER_US / ROUNDS,
	    (double)decode_us * NS_PER_US / ROUNDS);
	g_free(in);
	g_byte_array_unref(out);
}

int
main(void)
{
	struct rec_header headers[HEADERS] = {{0}};
	struct msg_call_open open = {0};
	struct msg_call_chunk chunk = {
	    .stream = 7, .data = piece, .data_len = sizeof(piece)};
	struct msg_call_ping ping = {.sent_ms = 123456789};

	fill_open(&open, headers);
	bench(&msg_call_open_desc, &open);
	bench(&msg_call_chunk_desc, &chunk);
	bench(&msg_call_ping_desc, &ping);
	return 0;
}
