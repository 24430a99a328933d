/*
 * Suggestions based on edit distance.
 */
#include <string.h>

#include <glib.h>

#include "proto/suggest.h"

/* Longer words are not treated as misspellings of a known word. */
#define WORD_MAX 63

/* Levenshtein distance, computed one row of the matrix at a time. */
static size_t
edit_distance(const char *a, const char *b)
{
	size_t above, diagonal, i, j, n = strlen(b);
	size_t row[WORD_MAX + 1];

	for (j = 0; j <= n; j++)
		row[j] = j;
	for (i = 0; a[i] != '\0'; i++) {
		diagonal = row[0];
		row[0] = i + 1;
		for (j = 0; j < n; j++) {
			above = row[j + 1];
			row[j + 1] = MIN(above, row[j]) + 1;
			row[j + 1] = MIN(row[j + 1], diagonal + (a[i] != b[j]));
			diagonal = above;
		}
	}
	return row[n];
}

const char *
suggest_nearest(const char *word, const char *(*known)(uint32_t i), uint32_t n)
{
	size_t best = strlen(word) / 3 + 1;
	const char *nearest = NULL;
	size_t distance;
	uint32_t i;

	if (strlen(word) > WORD_MAX)
		return NULL;
	for (i = 0; i < n; i++) {
		if (strlen(known(i)) > WORD_MAX)
			continue;
		distance = edit_distance(word, known(i));
		if (distance < best) {
			best = distance;
			nearest = known(i);
		}
	}
	return nearest;
}
