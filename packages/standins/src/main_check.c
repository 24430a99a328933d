/*
 * check_runs: checks the fates reported to callers (files written by load_gen
 * --outcomes) against the runs at upstreams (their journals or /standin/runs).
 */
#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "standins/program.h"
#include "standins/run_check.h"

#define CHECK_EXIT_VIOLATION 1
#define CHECK_EXIT_USAGE 2
#define CHECK_TIMEOUT_MS 10000L

static void
exit_with_error(void)
{
	(void)fprintf(stderr, "%s\n", status_message());
	exit(CHECK_EXIT_USAGE);
}

static size_t
append_body(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static enum status
fetch_runs(const char *upstream, struct runs *r)
{
	char *url = g_strdup_printf("http://%s/standin/runs", upstream);
	CURL *c = curl_easy_init();
	CURLcode rc;
	enum status st;
	GString *text = g_string_new(NULL);
	json_t *j;

	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, CHECK_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, text);
	rc = curl_easy_perform(c);
	curl_easy_cleanup(c);
	j = json_loadb(text->str, text->len, 0, NULL);
	if (rc != CURLE_OK)
		st = status_set(STATUS_UNAVAILABLE,
		    "no response from %s; use its journal instead.", url);
	else
		st = runs_read_json(r, j);
	json_decref(j);
	g_string_free(text, TRUE);
	g_free(url);
	return st;
}

static void
print_violations(const GArray *violations)
{
	const struct violation *v;
	guint i;

	for (i = 0; i < violations->len; i++) {
		v = &g_array_index(violations, struct violation, i);
		(void)printf("violation %s: %s reported %s, %lu runs\n",
		    run_rule_name(v->rule), v->id,
		    reported_fate_name(v->reported), (unsigned long)v->runs);
	}
}

int
main(int argc, char **argv)
{
	char **journals = NULL, **outcomes = NULL, **upstreams = NULL, **p;
	const GOptionEntry entries[] = {
	    {"outcomes", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &outcomes,
		"Outcomes written by load_gen; may be repeated", "FILE"},
	    {"journal", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &journals,
		"Journal of an upstream; may be repeated", "FILE"},
	    {"upstream", 0, 0, G_OPTION_ARG_STRING_ARRAY, &upstreams,
		"Upstream to fetch runs from; may be repeated", "IP:PORT"},
	    G_OPTION_ENTRY_NULL};
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	GArray *violations;
	guint n;
	struct runs *r;

	program_options(&argc, &argv, entries,
	    "Checks fates reported to callers against the runs at "
	    "upstreams.");
	if (runs_new("", NULL, &r) != STATUS_OK)
		exit_with_error();
	for (p = outcomes; p != NULL && *p != NULL; p++)
		if (outcomes_read(*p, calls) != STATUS_OK)
			exit_with_error();
	for (p = journals; p != NULL && *p != NULL; p++)
		if (runs_read_journal(r, *p) != STATUS_OK)
			exit_with_error();
	for (p = upstreams; p != NULL && *p != NULL; p++)
		if (fetch_runs(*p, r) != STATUS_OK)
			exit_with_error();
	violations = run_check(calls, r);
	print_violations(violations);
	n = violations->len;
	(void)printf("%u calls, %u violations\n", calls->len, n);
	g_array_unref(violations);
	g_array_unref(calls);
	runs_free(r);
	g_strfreev(outcomes);
	g_strfreev(journals);
	g_strfreev(upstreams);
	return n == 0 ? EXIT_SUCCESS : CHECK_EXIT_VIOLATION;
}
