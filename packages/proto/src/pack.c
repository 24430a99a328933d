/*
 * Compression of large message bodies with LZ4.
 */
#include "proto/pack.h"

#include <lz4.h>

GByteArray *
pack_encode(const uint8_t *data, size_t len)
{
	GByteArray *out;
	int n;

	if (len < PACK_MIN_BYTES || len > PACK_MAX_BYTES)
		return NULL;
	out = g_byte_array_new();
	g_byte_array_set_size(out, (guint)LZ4_compressBound((int)len));
	n = LZ4_compress_default(
	    (const char *)data, (char *)out->data, (int)len, (int)out->len);
	if (n <= 0 || (size_t)n >= len) {
		g_byte_array_unref(out);
		return NULL;
	}
	g_byte_array_set_size(out, (guint)n);
	return out;
}

GByteArray *
pack_decode(const uint8_t *data, size_t len, uint32_t bytes)
{
	GByteArray *out;
	int n;

	if (bytes == 0 || bytes > PACK_MAX_BYTES || len > PACK_MAX_BYTES)
		return NULL;
	out = g_byte_array_new();
	g_byte_array_set_size(out, bytes);
	n = LZ4_decompress_safe(
	    (const char *)data, (char *)out->data, (int)len, (int)bytes);
	if (n >= 0 && (uint32_t)n == bytes)
		return out;
	g_byte_array_unref(out);
	return NULL;
}
