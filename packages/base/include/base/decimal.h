/*
 * Decimal numbers in headers.
 */
#ifndef BASE_DECIMAL_H
#define BASE_DECIMAL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * decimal_parse_milli() - parse a decimal number without a sign
 * @text: digits with one decimal point at most, such as "14.9"; blanks around
 *	the number are ignored
 * @max_milli: largest result; a larger number is taken as this one
 * @milli: the number in thousandths; unchanged if @text is no such number
 *
 * Return: whether @text is such a number.
 */
bool decimal_parse_milli(const char *text, uint64_t max_milli, uint64_t *milli);

#endif
