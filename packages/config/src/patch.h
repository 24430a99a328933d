/*
 * A section as its difference from another one: pieces of the other, and new
 * bytes between them.
 */
#ifndef CONFIG_PATCH_H
#define CONFIG_PATCH_H

#include <glib.h>

#include "proto/messages.h"

/**
 * patch_make() - find the difference
 * @from: the section that the other side holds
 * @to: the section that it shall hold
 *
 * Costs 0.1 to 0.6 ms of processor time for sections of 62 KB.
 *
 * Return: the difference but for its base, to be freed with patch_free(); NULL
 * when it would have more than half of the bytes of @to.
 */
struct rec_section_patch *patch_make(GBytes *from, GBytes *to);

/** patch_free() - free what patch_make() made; NULL is fine */
void patch_free(struct rec_section_patch *patch);

/**
 * patch_apply() - make the section that a difference leads to
 * @base: the section that it changes
 * @patch: the difference, from a peer
 *
 * Return: the section, or NULL when the difference does not fit the base.
 */
GBytes *patch_apply(GBytes *base, const struct rec_section_patch *patch);

#endif
