/*
 * HTTP client for tests.
 */
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "fetch.h"

#define FETCH_TIMEOUT_MS 5000
#define FETCH_ATTEMPT_TIMEOUT_MS 1000
#define FETCH_RETRY_US 10000

static size_t
fetch_append(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static struct curl_slist *
fetch_headers(const struct fetch *f)
{
	const char *const *h;
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (h = f->headers; h != NULL && *h != NULL; h++)
		list = curl_slist_append(list, *h);
	return list;
}

void
fetch_perform(const struct fetch *f, struct fetch_answer *a)
{
	CURL *c = curl_easy_init();
	long code = 0;
	struct curl_slist *headers = fetch_headers(f);

	a->headers = g_string_new(NULL);
	a->body = g_string_new(NULL);
	curl_easy_setopt(c, CURLOPT_URL, f->url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, f->method);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS,
	    (long)(f->timeout_ms > 0 ? f->timeout_ms : FETCH_TIMEOUT_MS));
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, fetch_append);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, a->body);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, fetch_append);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, a->headers);
	if (f->body != NULL) {
		curl_easy_setopt(
		    c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)f->body_len);
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, f->body);
	}
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &code);
	a->code = (int)code;
	curl_easy_cleanup(c);
	curl_slist_free_all(headers);
}

void
fetch_answer_clear(struct fetch_answer *a)
{
	g_string_free(a->headers, TRUE);
	g_string_free(a->body, TRUE);
}

char *
fetch_header(const struct fetch_answer *a, const char *name)
{
	char **line, **lines = g_strsplit(a->headers->str, "\r\n", -1);
	char *value = NULL;
	size_t len = strlen(name);

	for (line = lines; *line != NULL && value == NULL; line++)
		if (g_ascii_strncasecmp(*line, name, len) == 0 &&
		    (*line)[len] == ':')
			value = g_strstrip(g_strdup(*line + len + 1));
	g_strfreev(lines);
	return value;
}

json_t *
fetch_json(const char *method, const char *url, const char *body, int *code)
{
	json_t *j;
	struct fetch f = {
	    method, url, NULL, body, body == NULL ? 0 : strlen(body), 0};
	struct fetch_answer a;

	fetch_perform(&f, &a);
	j = json_loadb(a.body->str, a.body->len, 0, NULL);
	if (code != NULL)
		*code = a.code;
	fetch_answer_clear(&a);
	return j;
}

int
fetch_wait_status(const char *url, int code, uint32_t timeout_ms)
{
	int status;
	struct fetch f = {"GET", url, NULL, NULL, 0, FETCH_ATTEMPT_TIMEOUT_MS};
	struct fetch_answer a;
	uint64_t until_ms = clock_now_ms() + timeout_ms;

	for (;;) {
		fetch_perform(&f, &a);
		status = a.code;
		fetch_answer_clear(&a);
		if (status == code)
			return 1;
		if (clock_now_ms() >= until_ms)
			return 0;
		g_usleep(FETCH_RETRY_US);
	}
}
