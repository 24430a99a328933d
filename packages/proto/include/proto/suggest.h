/*
 * Suggestions for mistyped words.
 */
#ifndef PROTO_SUGGEST_H
#define PROTO_SUGGEST_H

#include <stdint.h>

/**
 * suggest_nearest() - find the known word nearest to a given word
 * @word: the word
 * @known: returns known word number i
 * @n: number of known words
 *
 * The nearest word has the smallest edit distance, which must be at most a
 * third of the length of @word.
 *
 * Return: the known word; NULL when no known word is near enough.
 */
const char *
suggest_nearest(const char *word, const char *(*known)(uint32_t i), uint32_t n);

#endif
