/*
 * Exit codes of bramleydrift's command line, which scripts rely on.
 */
#include <check.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "test_run.h"

/* Exit codes of bramleydrift(8). */
enum {
	CODE_OK = 0,
	CODE_USAGE = 2,
	CODE_SETTINGS = 3,
};

#define ARGS_MAX 4

static const struct run {
	const char *args[ARGS_MAX];
	int code;
} runs[] = {
    {{"--help"}, CODE_OK},
    {{"--version"}, CODE_OK},
    {{"--settings", EXAMPLE_SETTINGS, "--check-settings"}, CODE_OK},
    {{"--settings", EXAMPLE_SETTINGS, "--print-settings"}, CODE_OK},
    {{NULL}, CODE_USAGE},
    {{"--no-such-option"}, CODE_USAGE},
    {{"--settings"}, CODE_USAGE},
    {{"operand"}, CODE_USAGE},
    {{"--settings", EXAMPLE_SETTINGS, "--check-settings", "operand"},
	CODE_USAGE},
    {{"--settings", "no-such-file", "--check-settings"}, CODE_SETTINGS},
    {{"--settings", BRAMLEYDRIFT_PATH, "--check-settings"}, CODE_SETTINGS},
};

START_TEST(test_exit_code)
{
	const struct run *r = &runs[_i];
	char *argv[ARGS_MAX + 2] = {(char *)"bramleydrift"};
	int status, i;
	pid_t pid;

	for (i = 0; i < ARGS_MAX; i++)
		argv[i + 1] = (char *)r->args[i];
	ck_assert_int_eq(
	    posix_spawn(&pid, BRAMLEYDRIFT_PATH, NULL, NULL, argv, environ), 0);
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), r->code);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("command_line");
	TCase *t = tcase_create("exit codes");

	tcase_add_loop_test(
	    t, test_exit_code, 0, sizeof(runs) / sizeof(runs[0]));
	suite_add_tcase(s, t);
	return test_run(s);
}
