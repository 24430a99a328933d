/*
 * bramleyctl: command-line tool for operators.
 */
#include <locale.h>

#include "ctl/commands.h"

int
main(int argc, char *argv[])
{
	(void)setlocale(LC_ALL, "");
	return ctl_run(argc, argv, stdout, stderr);
}
