/*
 * Suggestions for mistyped words.
 */
#ifndef PROTO_SUGGEST_H
#define PROTO_SUGGEST_H

#include <stdint.h>

/**
 * suggest_nearest() - the known word nearest to a given one
 * @word: the word
 * @known: gives known word number i
 * @n: number of known words
 *
 * Nearest by edit distance, at most a third of the word's length.
 *
 * Return: the known word; NULL when none is near.
 */
const char *
suggest_nearest(const char *word, const char *(*known)(uint32_t i), uint32_t n);

#endif
