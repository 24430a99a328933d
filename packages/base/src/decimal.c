/*
 * Decimal numbers in headers.
 */
#include "base/decimal.h"

#include <string.h>

#include <glib.h>

#define MILLI 1000
/* Longest number that is parsed. */
#define NUMBER_BYTES_MAX 32

static bool
is_decimal(const char *text, size_t len)
{
	uint32_t digits = 0, points = 0;
	size_t i;

	if (len > NUMBER_BYTES_MAX)
		return false;
	for (i = 0; i < len; i++) {
		digits += g_ascii_isdigit(text[i]);
		points += text[i] == '.';
	}
	return digits > 0 && points <= 1 && digits + points == len;
}

bool
decimal_parse_milli(const char *text, uint64_t max_milli, uint64_t *milli)
{
	double value;
	size_t len;

	while (g_ascii_isspace(*text))
		text++;
	len = strlen(text);
	while (len > 0 && g_ascii_isspace(text[len - 1]))
		len--;
	if (!is_decimal(text, len))
		return false;
	value = g_ascii_strtod(text, NULL) * MILLI + 0.5;
	*milli = value >= (double)max_milli ? max_milli : (uint64_t)value;
	return true;
}
