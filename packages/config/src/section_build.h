/*
 * Builds sections from validated messages.
 */
#ifndef CONFIG_SECTION_BUILD_H
#define CONFIG_SECTION_BUILD_H

#include "config/section.h"
#include "proto/messages.h"

/**
 * section_new() - encode a section from a validated message
 * @m: the message; must have passed section_check()
 *
 * Return: the section; free with section_free().
 */
struct section *section_new(const struct msg_section *m);

/** section_free() - free a section; usable as GDestroyNotify */
void section_free(void *data);

#endif
