/*
 * Answers of upstreams at the guard.  The whole body is retained while the
 * answer may have to be sent again; otherwise only the bytes that have
 * not yet been sent to every entry.
 */
#include <string.h>

#include "guard_priv.h"

/* A larger body is not retained. */
#define ANSWER_RETAIN_MAX_BYTES (1024U * 1024U)

/* Reading from the upstream pauses while an entry lags by this many bytes. */
#define ANSWER_LAG_MAX_BYTES 131072

/* Sent bytes are removed from the front once they reach this number. */
#define ANSWER_TRIM_BYTES 65536

/* Size of the field at the start of an encoded answer, the length of its head.
 */
#define ENCODED_HEAD_BYTES 4

struct guard_answer *
guard_answer_new(bool retained)
{
	struct guard_answer *a = g_new0(struct guard_answer, 1);

	a->refs = 1;
	a->retained = retained;
	a->length = -1;
	a->data = g_byte_array_new();
	call_headers_init(&a->headers);
	g_queue_init(&a->outs);
	return a;
}

void
guard_answer_unref(struct guard_answer *a)
{
	if (a == NULL || --a->refs > 0)
		return;
	call_headers_clear(&a->headers);
	g_byte_array_free(a->data, TRUE);
	g_free(a);
}

static uint64_t
end_offset(const struct guard_answer *a)
{
	return a->base + a->data->len;
}

/* Lowest offset that has not been sent to all entries. */
static uint64_t
min_sent_offset(const struct guard_answer *a)
{
	const struct guard_out *o;
	uint64_t least = end_offset(a);
	GList *l;

	for (l = a->outs.head; l != NULL; l = l->next) {
		o = l->data;
		least = MIN(least, o->sent);
	}
	return least;
}

static void
trim_sent(struct guard_answer *a)
{
	uint64_t sent = min_sent_offset(a) - a->base;

	if (a->retained || sent == 0)
		return;
	if (sent < a->data->len && sent < ANSWER_TRIM_BYTES)
		return;
	g_byte_array_remove_range(a->data, 0, (guint)sent);
	a->base += sent;
}

void
guard_answer_add(struct guard_answer *a, const uint8_t *data, size_t len)
{
	if (a->retained && a->data->len + len > ANSWER_RETAIN_MAX_BYTES)
		a->retained = false;
	g_byte_array_append(a->data, data, (guint)len);
	trim_sent(a);
}

bool
guard_answer_is_full(const struct guard_answer *a)
{
	return end_offset(a) - min_sent_offset(a) >= ANSWER_LAG_MAX_BYTES;
}

void
guard_answer_send(struct guard_answer *a, const struct guard_upstream *u)
{
	GList *l, *next;

	a->refs++;
	for (l = a->outs.head; l != NULL; l = next) {
		next = l->next;
		guard_out_send(l->data, u);
	}
	trim_sent(a);
	guard_answer_unref(a);
}

GBytes *
guard_answer_encode(const struct guard_answer *a)
{
	struct msg_call_head m;
	GByteArray *out;
	uint32_t head_bytes;

	if (!a->retained)
		return NULL;
	memset(&m, 0, sizeof(m));
	m.status = a->status;
	m.headers = call_headers_rec(&a->headers);
	m.n_headers = call_headers_count(&a->headers);
	m.body_bytes = (int64_t)a->data->len;
	out = g_byte_array_new();
	g_byte_array_set_size(out, ENCODED_HEAD_BYTES);
	msg_call_head_encode(&m, out);
	head_bytes = out->len - ENCODED_HEAD_BYTES;
	memcpy(out->data, &head_bytes, ENCODED_HEAD_BYTES);
	g_byte_array_append(out, a->data->data, a->data->len);
	return g_byte_array_free_to_bytes(out);
}

struct guard_answer *
guard_answer_decode(GBytes *bytes)
{
	struct guard_answer *a;
	struct msg_call_head m;
	const struct rec_header *h;
	const uint8_t *data;
	size_t len;
	uint32_t head_bytes, i;

	data = g_bytes_get_data(bytes, &len);
	memcpy(&head_bytes, data, ENCODED_HEAD_BYTES);
	data += ENCODED_HEAD_BYTES;
	len -= ENCODED_HEAD_BYTES;
	if (msg_call_head_decode(data, head_bytes, &m) != STATUS_OK)
		return NULL;
	a = guard_answer_new(true);
	a->has_head = true;
	a->complete = true;
	a->status = m.status;
	a->length = m.body_bytes;
	for (i = 0; i < m.n_headers; i++) {
		h = &m.headers[i];
		(void)call_headers_add(
		    &a->headers, h->name, h->name_len, h->value, h->value_len);
	}
	g_byte_array_append(
	    a->data, data + head_bytes, (guint)(len - head_bytes));
	msg_call_head_clear(&m);
	return a;
}
