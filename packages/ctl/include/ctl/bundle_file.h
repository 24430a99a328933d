/*
 * Reads bundle files.
 */
#ifndef CTL_BUNDLE_FILE_H
#define CTL_BUNDLE_FILE_H

#include <stddef.h>

#include "ctl/commands.h"

/**
 * bundle_file_read() - read a bundle from a file
 * @ctl: the invocation; errors are printed to its error stream
 * @path: path of the file
 * @text: set to the content; free with g_free()
 * @len: set to the length in bytes
 *
 * Return: EXIT_CODE_OK, or EXIT_CODE_USAGE if the file can't be read.
 */
int
bundle_file_read(struct ctl *ctl, const char *path, char **text, size_t *len);

#endif
