/*
 * Making sections from checked messages.
 */
#ifndef CONFIG_SECTION_BUILD_H
#define CONFIG_SECTION_BUILD_H

#include "config/section.h"
#include "proto/messages.h"

/**
 * section_new() - a section from a checked message
 * @m: the message; passed section_check()
 *
 * Return: the section; free with section_free().
 */
struct section *section_new(const struct msg_section *m);

/** section_free() - free a section; fits GDestroyNotify */
void section_free(void *data);

#endif
