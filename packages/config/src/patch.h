/*
 * Binary patches between sections: ranges copied from a base section, with new
 * bytes between them.
 */
#ifndef CONFIG_PATCH_H
#define CONFIG_PATCH_H

#include <glib.h>

#include "proto/messages.h"

/**
 * patch_make() - compute a patch
 * @from: the base, which the receiver has
 * @to: the section that results from the patch
 *
 * Takes 0.1 to 0.6 ms of processor time for sections of 62 KB.
 *
 * Return: the patch without the digest of its base; free with patch_free().
 * NULL if it would be larger than half of @to.
 */
struct rec_section_patch *patch_make(GBytes *from, GBytes *to);

/** patch_free() - free a patch from patch_make(); accepts NULL */
void patch_free(struct rec_section_patch *patch);

/**
 * patch_apply() - apply a patch
 * @base: the base section
 * @patch: the patch, as received from a peer
 *
 * Return: the resulting section, or NULL if the patch does not fit the base.
 */
GBytes *patch_apply(GBytes *base, const struct rec_section_patch *patch);

#endif
