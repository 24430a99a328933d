/*
 * Tests of bramleyctl against fake nodes: exit codes, output, sent requests.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "ctl/commands.h"
#include "ctl/exit_code.h"
#include "fake_node.h"
#include "test_run.h"
#include "proto/addr.h"

#define ARGS_MAX 24

/* An address without a listener. */
#define UNUSED_ADDR "127.0.0.1:1"

/* Exit code and output of one invocation. */
struct ctl_output {
	int code;
	char *out;
	char *err;
	size_t out_len;
	size_t err_len;
};

/* Execute the command line @args; "@" is replaced by the fake node's address.
 */
static struct ctl_output
run_ctl(const struct fake_node *f, const char *args)
{
	char **parts = g_strsplit(args, " ", ARGS_MAX);
	char name[] = "bramleyctl";
	char *argv[ARGS_MAX + 1] = {name};
	FILE *err, *out;
	struct ctl_output r;
	int n;

	for (n = 1; parts[n - 1] != NULL; n++)
		argv[n] = strcmp(parts[n - 1], "@") == 0
		    ? (char *)fake_node_address(f)
		    : parts[n - 1];
	out = open_memstream(&r.out, &r.out_len);
	err = open_memstream(&r.err, &r.err_len);
	r.code = ctl_run(n, argv, out, err);
	(void)fclose(out);
	(void)fclose(err);
	g_strfreev(parts);
	return r;
}

static void
ctl_output_clear(struct ctl_output *r)
{
	free(r->out);
	free(r->err);
}

#define assert_contains(text, part)                                          \
	ck_assert_msg(strstr((text), (part)) != NULL, "\"%s\" lacks \"%s\"", \
	    (text), (part))

/* Create a bundle file; the caller removes it. */
static char *
bundle_path(void)
{
	char *name = g_strdup_printf("bramley-ctl-%d.json", (int)getpid());
	char *path = g_build_filename(g_get_tmp_dir(), name, NULL);

	ck_assert(g_file_set_contents(path, "{\"format\":1}", -1, NULL));
	g_free(name);
	return path;
}

/* Command lines that never reach a node: exit code and part of the error. */
struct usage_row {
	const char *args;
	int code;
	const char *message;
};

static const struct usage_row usage_rows[] = {
    {"", EXIT_CODE_USAGE, "No command was specified"},
    {"status", EXIT_CODE_USAGE, "No node was specified; add --node IP:PORT"},
    {"--node nowhere status", EXIT_CODE_USAGE, "is not an address with a port"},
    {"--node " UNUSED_ADDR " statsu", EXIT_CODE_USAGE, "did you mean status?"},
    {"--node " UNUSED_ADDR " frobnicate", EXIT_CODE_USAGE, "is not a command."},
    {"--node " UNUSED_ADDR " status 7", EXIT_CODE_USAGE, "Usage: status"},
    {"--node " UNUSED_ADDR " watch", EXIT_CODE_USAGE, "watch VERSION"},
    {"--node " UNUSED_ADDR " watch x", EXIT_CODE_USAGE,
	"must be a positive integer"},
    {"--node " UNUSED_ADDR " halt 0", EXIT_CODE_USAGE,
	"must be a positive integer"},
    {"--node " UNUSED_ADDR " status --op a", EXIT_CODE_USAGE,
	"--op is not an option of status"},
    {"--node " UNUSED_ADDR " halt 1 --parent 3", EXIT_CODE_USAGE,
	"--parent is not an option of halt"},
    {"--node " UNUSED_ADDR " halt 1 --op a/b", EXIT_CODE_USAGE,
	"--op may contain only"},
    {"--node " UNUSED_ADDR " history --limit 0", EXIT_CODE_USAGE,
	"--limit must be an integer of at least 1"},
    {"--node " UNUSED_ADDR " status --timeout-ms 0", EXIT_CODE_USAGE,
	"--timeout-ms must be from 1 to"},
    {"--node " UNUSED_ADDR " status --timeout-ms 86400001", EXIT_CODE_USAGE,
	"--timeout-ms must be from 1 to"},
    {"--node " UNUSED_ADDR " halt 1 --op "
     "0123456789012345678901234567890123456789012345678901234567890123",
	EXIT_CODE_USAGE, "--op must be 1 to 63 bytes"},
    {"--node " UNUSED_ADDR " status --what", EXIT_CODE_USAGE, "Unknown option"},
    {"--node " UNUSED_ADDR " validate no/such/file", EXIT_CODE_USAGE,
	"Check the path"},
    {"--node " UNUSED_ADDR " sign-off no/such/file", EXIT_CODE_USAGE,
	"Check the path"},
    {"--node " UNUSED_ADDR " status", EXIT_CODE_UNAVAILABLE,
	"can't be reached"},
    {"--node " UNUSED_ADDR " halt 1", EXIT_CODE_UNAVAILABLE,
	"can't be reached"},
    {"--node " UNUSED_ADDR " watch 1 --timeout-ms 200 --interval-ms 50",
	EXIT_CODE_UNAVAILABLE, "can't be reached"},
};

START_TEST(usage)
{
	const struct usage_row *row = &usage_rows[_i];
	struct ctl_output r = run_ctl(NULL, row->args);

	ck_assert_msg(r.code == row->code, "\"%s\" ended with %d: %s",
	    row->args, r.code, r.err);
	assert_contains(r.err, row->message);
	ctl_output_clear(&r);
}
END_TEST

START_TEST(help_and_version)
{
	struct ctl_output r = run_ctl(NULL, "--help");

	ck_assert_int_eq(r.code, EXIT_CODE_OK);
	assert_contains(r.out, "sign-off  FILE");
	assert_contains(r.out, "6 unknown");
	assert_contains(r.out, "--timeout-ms");
	ctl_output_clear(&r);
	r = run_ctl(NULL, "--version");
	ck_assert_int_eq(r.code, EXIT_CODE_OK);
	assert_contains(r.out, "bramleyctl " BRAMLEY_VERSION);
	ctl_output_clear(&r);
}
END_TEST

#define DONE                                                    \
	"{\"op\":\"o1\",\"state\":\"done\",\"repeated\":false," \
	"\"version\":7,\"in_force\":7,\"newest_version\":7,"    \
	"\"message\":\"Version 7 is in force.\"}"
#define ERROR(kind)                                                         \
	"{\"error\":{\"kind\":\"" kind "\",\"message\":\"What is wrong.\"," \
	"\"remedy\":\"What to do.\",\"retry_after_ms\":0}}"
#define PROGRESS(holding, other)                                           \
	"{\"version\":7,\"record\":null,\"progress\":{\"nodes\":5,"        \
	"\"holding\":" holding ",\"data_centres\":{"                       \
	"\"grandahus\":{\"nodes\":3,\"holding\":3,\"answered_ms_ago\":0}," \
	"\"vallasalur\":{\"nodes\":2,\"holding\":" other                   \
	",\"answered_ms_ago\":9000}}}}"
#define HEAD(version, in_force)                                \
	"{\"host\":\"h1\",\"ready\":true,\"head\":{\"seq\":9," \
	"\"version\":" version ",\"in_force\":" in_force "}}"

#define MEMBER(address, state) \
	"{\"address\":\"" address "\",\"state\":\"" state "\"}"
#define CUSTOMERS(version, rate)                                        \
	"{\"version\":" version ",\"period_ms\":5000,\"customers\":["   \
	"{\"name\":\"quiet\",\"priority\":null,\"rate_milli_per_s\":0," \
	"\"burst_milli\":0,\"requests\":50,\"limited\":0},"             \
	"{\"name\":\"hot\",\"priority\":2,\"rate_milli_per_s\":" rate   \
	",\"burst_milli\":1500,\"requests\":40,\"limited\":10}]}"

/*
 * A command against a script: exit code, and substrings of its output, of its
 * errors and of the requests it sent.  "$" is replaced by a bundle file.
 */
struct run_row {
	const char *args;
	struct fake_response script[5];
	int code;
	const char *out;
	const char *err;
	const char *sent;
};

static const struct run_row run_rows[] = {
    {"--node @ validate $",
	{{"POST /v1/bundles/validate", 200,
	    "{\"valid\":true,\"name\":\"registry\",\"services\":3}"}},
	EXIT_CODE_OK, "name: registry\nservices: 3\n", "",
	"POST /v1/bundles/validate {\"format\":1}\n"},
    {"--node @ validate $",
	{{"POST /v1/bundles/validate", 400,
	    "{\"error\":{\"kind\":\"invalid\",\"message\":\"m\","
	    "\"remedy\":\"Correct it.\"},\"problems\":[{\"path\":\"routes[0]\","
	    "\"message\":\"no service\",\"remedy\":\"add one\"}]}"}},
	EXIT_CODE_INVALID, "",
	"bramleyctl: invalid: m\n  routes[0]: no service; add one\n"
	"  remedy: Correct it.\n",
	""},
    {"--node @ validate $",
	{{"POST /v1/bundles/validate", 200,
	    "{\"valid\":true,\"name\":\"registry\",\"warnings\":[{\"path\":"
	    "\"routes[0]\",\"message\":\"odd\",\"remedy\":\"even it\"}]}"}},
	EXIT_CODE_OK, "valid: true\nname: registry\n",
	"warning: routes[0]: odd; even it\n", ""},
    {"--node @ sign-off $ --op o1",
	{{"POST /v1/versions", 201,
	    "{\"version\":7,\"warnings\":[{\"path\":\"routes[0]\","
	    "\"message\":\"odd\",\"remedy\":\"even it\"}]}"}},
	EXIT_CODE_OK, "version: 7\n", "warning: routes[0]: odd; even it\n", ""},
    {"--node @ --json validate $",
	{{"POST /v1/bundles/validate", 200,
	    "{\"valid\":true,\"warnings\":[{\"path\":\"p\"}]}"}},
	EXIT_CODE_OK, "\"warnings\":[{\"path\":\"p\"}]", "", ""},
    {"--node @ sign-off $ --operator jon --op o1 --note a&b --parent 6",
	{{"POST /v1/versions", 201, DONE}}, EXIT_CODE_OK,
	"version: 7\nstate: done\nin_force: 7\nop: o1\n", "operation: o1\n",
	"POST /v1/versions?operator=jon&op=o1&note=a%26b&parent=6 "
	"{\"format\":1}\n"},
    {"--node @ --json sign-off $ --op o1", {{"POST /v1/versions", 201, DONE}},
	EXIT_CODE_OK, "\"version\":7,", "", "op=o1"},
    {"--node @ supersede 3 --op o1",
	{{"POST /v1/versions/3/supersede", 201, DONE}}, EXIT_CODE_OK,
	"version: 7\n", "", "POST /v1/versions/3/supersede?operator="},
    {"--node @ supersede 3 $ --op o1",
	{{"POST /v1/versions/3/supersede", 201, DONE}}, EXIT_CODE_OK,
	"version: 7\n", "", "{\"format\":1}"},
    {"--node @ halt 7", {{"POST /v1/versions/7/halt", 200, DONE}}, EXIT_CODE_OK,
	"version: 7\n", "", "&fresh=1"},
    {"--node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 409,
	    "{\"error\":{\"kind\":\"conflict\",\"message\":\"Late.\","
	    "\"remedy\":\"Look.\"},\"winner\":{\"version\":8,\"halted\":false,"
	    "\"op\":\"o2\",\"operator\":\"eva\"}}"}},
	EXIT_CODE_CONFLICT, "",
	"winner: version 8, signed off by eva in operation o2\n", ""},
    {"--node @ --json halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 404, ERROR("not_found")}},
	EXIT_CODE_NOT_FOUND, "\"kind\":\"not_found\"", "not_found", ""},
    {"--node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 503, ERROR("unavailable")}},
	EXIT_CODE_UNAVAILABLE, "", "remedy: What to do.", ""},
    {"--node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 500, ERROR("internal")}},
	EXIT_CODE_INTERNAL, "", "internal: What is wrong.", ""},
    {"--node @ sign-off $ --op o1",
	{{"POST /v1/versions", 413, ERROR("too_large")}}, EXIT_CODE_INVALID, "",
	"too_large", ""},
    {"--node @ sign-off $ --op o1",
	{{"POST /v1/versions", 503, ERROR("overloaded")}},
	EXIT_CODE_UNAVAILABLE, "", "overloaded", ""},
    /* A node's error takes precedence over an unreachable next node. */
    {"--node @ --node " UNUSED_ADDR " halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 503, ERROR("unavailable")}},
	EXIT_CODE_UNAVAILABLE, "", "unavailable: What is wrong.", ""},
    {"--node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 504, ERROR("timeout")},
	    {"GET /v1/operations/o1", 200, DONE}},
	EXIT_CODE_OK, "version: 7\n", "querying operation o1", ""},
    /* After a lost response the operation is queried, not sent again. */
    {"--node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 0, ""},
	    {"GET /v1/operations/o1", 503, ERROR("unavailable")},
	    {"GET /v1/operations/o1", 200, DONE}},
	EXIT_CODE_OK, "version: 7\n", "querying operation o1",
	"GET /v1/operations/o1 \nGET /v1/operations/o1 \n"},
    {"--node @ halt 7 --op o1 --timeout-ms 300",
	{{"POST /v1/versions/7/halt", 0, ""},
	    {"GET /v1/operations/o1", 404, ERROR("not_found")}},
	EXIT_CODE_UNKNOWN, "",
	"settle it: bramleyctl --node IP:PORT operation o1\n", ""},
    {"--node @ halt 7 --op o1 --timeout-ms 300",
	{{"POST /v1/versions/7/halt", 504,
	     "{\"error\":{\"kind\":\"unknown\",\"message\":\"Lost.\","
	     "\"remedy\":\"Ask.\"},\"after_seq\":12}"},
	    {"GET /v1/operations/o1?after_seq=12", 504, ERROR("unknown")}},
	EXIT_CODE_UNKNOWN, "", "operation o1 --after-seq 12\n", ""},
    {"--node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 504,
	     "{\"error\":{\"kind\":\"unknown\",\"message\":\"Lost.\","
	     "\"remedy\":\"Ask.\"},\"after_seq\":12}"},
	    {"GET /v1/operations/o1?after_seq=12", 404, ERROR("not_found")}},
	EXIT_CODE_UNAVAILABLE, "", "The operation was not executed.", ""},
    {"--node @ halt 7 --op o1 --timeout-ms 300",
	{{"POST /v1/versions/7/halt", 502, "<html>"},
	    {"GET /v1/operations/o1", 404, ERROR("not_found")}},
	EXIT_CODE_UNKNOWN, "", "is not JSON", ""},
    {"--node @ operation o1 --after-seq 4",
	{{"GET /v1/operations/o1?after_seq=4", 200, DONE}}, EXIT_CODE_OK,
	"state: done\n", "", ""},
    {"--node @ operation o1",
	{{"GET /v1/operations/o1", 404, ERROR("not_found")}},
	EXIT_CODE_NOT_FOUND, "", "not_found: What is wrong.", ""},
    {"--node @ operation o1",
	{{"GET /v1/operations/o1", 504, ERROR("timeout")}},
	EXIT_CODE_UNAVAILABLE, "", "timeout: What is wrong.", ""},
    {"--node @ status", {{"GET /v1/status", 200, HEAD("7", "6")}}, EXIT_CODE_OK,
	"host: h1\nready: true\nhead.seq: 9\n", "", ""},
    {"--node @ status",
	{{"GET /v1/status?fleet=1", 200,
	    "{\"host\":\"h1\",\"version\":6,\"fleet\":{\"nodes\":65,"
	    "\"holding\":60,\"refused\":null}}"}},
	EXIT_CODE_OK,
	"version 6 in force at 60 of 65 nodes\nhost: h1\nversion: 6\n", "",
	"GET /v1/status?fleet=1"},
    {"--node @ status",
	{{"GET /v1/status?fleet=1", 200,
	    "{\"version\":6,\"refused\":null,\"fleet\":{\"nodes\":65,"
	    "\"holding\":60,\"refused\":{\"nodes\":5,\"version\":10,"
	    "\"since_wall_ms\":1700000000000,\"reason\":\"no good\"}}}"}},
	EXIT_CODE_OK,
	"version 6 in force at 60 of 65 nodes; version 10 is refused by 5 "
	"nodes since 2023-11-14T22:13:20Z: no good\n",
	"", ""},
    {"--node @ status",
	{{"GET /v1/status?fleet=1", 200,
	    "{\"version\":6,\"fleet\":{\"nodes\":2,\"holding\":2,"
	    "\"refused\":{\"nodes\":1,\"version\":0,"
	    "\"since_wall_ms\":1700000000000,\"reason\":\"no JSON\"}}}"}},
	EXIT_CODE_OK,
	"; a version that can't be read is refused by 1 node since", "", ""},
    {"--node @ status", {{"GET /v1/status", 200, "not JSON"}},
	EXIT_CODE_UNAVAILABLE, "", "Check that --node specifies the admin_port",
	""},
    {"--node @ history --limit 2",
	{{"GET /v1/versions", 200,
	    "{\"versions\":[{\"version\":7,\"operator\":\"jon\",\"op\":\"o1\","
	    "\"note\":\"why\",\"wall_ms\":1700000000000}]}"}},
	EXIT_CODE_OK, "7  2023-11-14T22:13:20Z  jon  ", "",
	"GET /v1/versions?limit=2"},
    {"--node @ rollouts",
	{{"GET /v1/rollouts", 200,
	    "{\"rollouts\":[{\"service\":\"booking\",\"from\":\"v1\",\"to\":"
	    "\"v2\",\"phase\":\"rolled_back\",\"left_ms\":2170,\"reason\":"
	    "\"failures on route 5: 4 of 5 answers\"}]}"}},
	EXIT_CODE_OK, "rolled_back", "", "GET /v1/rollouts"},
    /* Two nodes answer from one address, one is gone, one can't be reached;
     * the answers are of different versions. */
    {"--node @ customers",
	{{"GET /v1/members", 200,
	     "{\"members\":[" MEMBER("127.0.0.1:9", "alive") "," MEMBER(
		 "127.0.0.1:9", "suspect") "," MEMBER("127.0.0.1:9",
		 "failed") "," MEMBER("127.9.9.9:9", "alive") "]}"},
	    {"GET /v1/customers", 200, CUSTOMERS("8", "3000")},
	    {"GET /v1/customers", 200, CUSTOMERS("7", "5000")}},
	EXIT_CODE_OK,
	"answers of 2 of 3 nodes\n"
	"CUSTOMER                          PRIORITY     LIMIT/S       BURST"
	"     ASKED/S   LIMITED/S\n"
	"hot                                      2       3.000       1.500"
	"        16.0         4.0\n"
	"quiet                                    -       0.000       0.000"
	"        20.0         0.0\n",
	"", "GET /v1/customers"},
    {"--node @ --node @ --json customers a&b",
	{{"GET /v1/customers?name=a%26b", 200, CUSTOMERS("8", "3000")}},
	EXIT_CODE_OK,
	"{\"nodes\":2,\"answered\":2,\"period_ms\":5000,\"customers\":["
	"{\"name\":\"hot\",\"priority\":2,\"rate_milli_per_s\":3000,"
	"\"burst_milli\":1500,\"requests\":80,\"limited\":20},",
	"", ""},
    {"--node @ --node @ customers a",
	{{"GET /v1/customers", 404, ERROR("not_found")}}, EXIT_CODE_NOT_FOUND,
	"", "has no customer of this name", ""},
    {"--node @ --node @ customers",
	{{"GET /v1/customers", 500, ERROR("internal")}}, EXIT_CODE_UNAVAILABLE,
	"", "No node answered", ""},
    {"--node @ customers", {{"GET /v1/members", 503, ERROR("unavailable")}},
	EXIT_CODE_UNAVAILABLE, "", "What is wrong", ""},
    {"--node @ quarantine",
	{{"GET /v1/quarantine", 200,
	    "{\"requests\":[{\"request\":\"0a.0b\",\"crashes\":3,"
	    "\"asked_here\":12,\"caller\":\"booking\","
	    "\"asks\":\"GET /look\",\"since_wall_ms\":1700000000000}]}"}},
	EXIT_CODE_OK,
	"0a.0b                              2023-11-14T22:13:20Z        3   "
	"       12  booking               GET /look",
	"", "GET /v1/quarantine"},
    {"--node @ release 0a.0b",
	{{"DELETE /v1/quarantine/0a.0b", 200, "{\"released\":\"0a.0b\"}"}},
	EXIT_CODE_OK, "0a.0b", "", "DELETE /v1/quarantine/0a.0b"},
    {"--node @ release 0a.0b",
	{{"DELETE /v1/quarantine/0a.0b", 404, ERROR("not_found")}},
	EXIT_CODE_NOT_FOUND, "", "not_found", ""},
    {"--node @ release", {{NULL, 0, NULL}}, EXIT_CODE_USAGE, "", "release", ""},
    {"--node @ watch 7 --interval-ms 10",
	{{"GET /v1/versions/7", 200, PROGRESS("3", "0")},
	    {"GET /v1/versions/7", 200, PROGRESS("3", "0")},
	    {"GET /v1/versions/7", 200, PROGRESS("5", "2")},
	    {"GET /v1/status", 200, HEAD("7", "7")}},
	EXIT_CODE_OK,
	"version 7: 3 of 5 nodes (grandahus 3/3, vallasalur 0/2 silent for "
	"9 s)\nversion 7: 5 of 5 nodes",
	"", ""},
    /* Long enough for the first response on a busy machine with sanitizers. */
    {"--node @ watch 7 --interval-ms 10 --timeout-ms 1500",
	{{"GET /v1/versions/7", 200, PROGRESS("3", "0")},
	    {"GET /v1/status", 200, HEAD("7", "7")}},
	EXIT_CODE_NOT_CONVERGED, "3 of 5", "on 3 of 5 nodes at the timeout",
	""},
    /* A response cut off by the timeout is not reported as unavailable. */
    {"--node @ watch 7 --interval-ms 10 --timeout-ms 1500",
	{{"GET /v1/versions/7", 200, PROGRESS("3", "0")},
	    {"GET /v1/versions/7", FAKE_DELAYED(200), PROGRESS("3", "0")},
	    {"GET /v1/status", 200, HEAD("7", "7")}},
	EXIT_CODE_NOT_CONVERGED, "3 of 5", "on 3 of 5 nodes at the timeout",
	""},
    {"--node @ watch 7 --interval-ms 10",
	{{"GET /v1/versions/7", 200, PROGRESS("3", "0")},
	    {"GET /v1/status", 200, HEAD("7", "6")}},
	EXIT_CODE_NOT_CONVERGED, "3 of 5", "was halted", ""},
    /* A node whose head lags behind does not mean that a halt occurred. */
    {"--node @ watch 7 --interval-ms 10 --timeout-ms 200",
	{{"GET /v1/versions/7", 200, PROGRESS("3", "0")},
	    {"GET /v1/status", 200, HEAD("6", "6")}},
	EXIT_CODE_NOT_CONVERGED, "3 of 5", "at the timeout", ""},
    /* Progress of 0 of 0 nodes is not convergence. */
    {"--node @ watch 7 --interval-ms 10 --timeout-ms 200",
	{{"GET /v1/versions/7", 200,
	     "{\"progress\":{\"nodes\":0,\"holding\":0}}"},
	    {"GET /v1/status", 200, HEAD("7", "7")}},
	EXIT_CODE_NOT_CONVERGED, "0 of 0", "at the timeout", ""},
    {"--node @ watch 7 --interval-ms 10",
	{{"GET /v1/versions/7", 503, ERROR("unavailable")},
	    {"GET /v1/versions/7", 503, ERROR("unavailable")},
	    {"GET /v1/versions/7", 200, PROGRESS("5", "2")}},
	EXIT_CODE_OK, "5 of 5", "unavailable: What is wrong.", ""},
    {"--node @ --json watch 7",
	{{"GET /v1/versions/7", 200, PROGRESS("5", "2")}}, EXIT_CODE_OK,
	"\"holding\":5,", "", ""},
    {"--node @ watch 7", {{"GET /v1/versions/7", 404, ERROR("not_found")}},
	EXIT_CODE_NOT_FOUND, "", "not_found", ""},
    /* The first node is unreachable: the request goes to the next one. */
    {"--node " UNUSED_ADDR " --node @ halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 200, DONE}}, EXIT_CODE_OK, "version: 7\n",
	"", ""},
};

/* Number of changes among the recorded requests. */
static int
changes_sent(const char *requests)
{
	char **lines = g_strsplit(requests, "\n", -1);
	int i, n = 0;

	for (i = 0; lines[i] != NULL; i++)
		n += g_str_has_prefix(lines[i], "POST /v1/versions");
	g_strfreev(lines);
	return n;
}

static void
run_row(struct fake_node *f, const struct run_row *row, const char *path)
{
	char **parts = g_strsplit(row->args, "$", 2);
	char *args = g_strjoinv(path, parts);
	char *requests;
	struct ctl_output r;

	fake_node_set_script(f, row->script);
	r = run_ctl(f, args);
	ck_assert_msg(r.code == row->code, "\"%s\" ended with %d: %s%s",
	    row->args, r.code, r.out, r.err);
	assert_contains(r.out, row->out);
	assert_contains(r.err, row->err);
	requests = fake_node_requests(f);
	assert_contains(requests, row->sent);
	ck_assert_int_le(changes_sent(requests), 1);
	ctl_output_clear(&r);
	g_free(requests);
	g_free(args);
	g_strfreev(parts);
}

/* A deadline in the past must end the request, not disable its timeout. */
static void
expired_deadline_ends_request(struct fake_node *f)
{
	static const struct fake_response late[] = {
	    {"GET /v1/status", FAKE_DELAYED(200), "{}"}, {0}};
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(struct net_addr));
	struct client_request req = {.method = "GET", .path = "/v1/status"};
	struct client *c = client_new(nodes);
	struct client_response resp;
	struct net_addr addr;

	fake_node_set_script(f, late);
	ck_assert_int_eq(addr_parse(fake_node_address(f), &addr), STATUS_OK);
	g_array_append_val(nodes, addr);
	client_request(c, &req, &resp);
	ck_assert_int_ne(resp.outcome, CLIENT_RESPONDED);
	ck_assert_str_eq(client_response_kind(&resp), "unavailable");
	client_response_clear(&resp);
	client_free(c);
	g_array_unref(nodes);
}

START_TEST(commands_against_a_node)
{
	struct fake_node *f = fake_node_new();
	char *path = bundle_path();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(run_rows); i++)
		run_row(f, &run_rows[i], path);
	expired_deadline_ends_request(f);
	(void)unlink(path);
	g_free(path);
	fake_node_free(f);
}
END_TEST

/* Two nodes: how the response of the first decides about the second. */
struct failover_row {
	const char *args;
	struct fake_response first[2];
	struct fake_response second[2];
	int code;
	int second_is_used;
	int second_changes;
};

static const struct failover_row failover_rows[] = {
    /* The first node executed nothing, so the next one may be sent the change.
     */
    {"halt 7 --op o1",
	{{"POST /v1/versions/7/halt", 503, ERROR("unavailable")}},
	{{"POST /v1/versions/7/halt", 200, DONE}}, EXIT_CODE_OK, 1, 1},
    /* The first node may have executed it, so the next one is only queried. */
    {"halt 7 --op o1", {{"POST /v1/versions/7/halt", 0, ""}},
	{{"GET /v1/operations/o1", 200, DONE}}, EXIT_CODE_OK, 1, 0},
    {"status", {{"GET /v1/status", 0, ""}},
	{{"GET /v1/status", 200, HEAD("7", "7")}}, EXIT_CODE_OK, 1, 0},
    /* A conflict is final. */
    {"halt 7 --op o1", {{"POST /v1/versions/7/halt", 409, ERROR("conflict")}},
	{{"POST /v1/versions/7/halt", 200, DONE}}, EXIT_CODE_CONFLICT, 0, 0},
};

static void
run_failover(struct fake_node *first, struct fake_node *second,
    const struct failover_row *row)
{
	char *args, *requests;
	struct ctl_output r;

	fake_node_set_script(first, row->first);
	fake_node_set_script(second, row->second);
	args = g_strdup_printf("--node %s --node %s %s",
	    fake_node_address(first), fake_node_address(second), row->args);
	r = run_ctl(NULL, args);
	ck_assert_msg(r.code == row->code, "\"%s\" ended with %d: %s",
	    row->args, r.code, r.err);
	requests = fake_node_requests(second);
	ck_assert_int_eq(*requests != '\0', row->second_is_used);
	ck_assert_int_eq(changes_sent(requests), row->second_changes);
	g_free(requests);
	ctl_output_clear(&r);
	g_free(args);
}

START_TEST(failover_to_next_node)
{
	struct fake_node *first = fake_node_new();
	struct fake_node *second = fake_node_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(failover_rows); i++)
		run_failover(first, second, &failover_rows[i]);
	fake_node_free(first);
	fake_node_free(second);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("ctl");
	TCase *tc = tcase_create("ctl");

	tcase_set_timeout(tc, 30);
	tcase_add_loop_test(tc, usage, 0, (int)G_N_ELEMENTS(usage_rows));
	tcase_add_test(tc, help_and_version);
	tcase_add_test(tc, commands_against_a_node);
	tcase_add_test(tc, failover_to_next_node);
	suite_add_tcase(s, tc);
	return test_run(s);
}
