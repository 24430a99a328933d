/*
 * Reads bundle files.
 */
#include "ctl/bundle_file.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"

int
bundle_file_read(struct ctl *ctl, const char *path, char **text, size_t *len)
{
	GError *error = NULL;
	gsize n = 0;

	if (g_file_get_contents(path, text, &n, &error)) {
		*len = n;
		return EXIT_CODE_OK;
	}
	(void)report_error(ctl, EXIT_CODE_USAGE, "io", error->message,
	    "Check the path and its permissions.");
	g_error_free(error);
	return EXIT_CODE_USAGE;
}
