/*
 * Reading of bundle files.
 */
#ifndef CTL_BUNDLE_FILE_H
#define CTL_BUNDLE_FILE_H

#include <stddef.h>

#include "ctl/commands.h"

/**
 * bundle_file_read() - read a bundle from a file
 * @ctl: the run; an error is printed
 * @path: the file
 * @text: where its content goes; free with g_free()
 * @len: where its length goes
 *
 * Return: EXIT_CODE_OK or EXIT_CODE_USAGE.
 */
int
bundle_file_read(struct ctl *ctl, const char *path, char **text, size_t *len);

#endif
