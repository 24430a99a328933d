/*
 * Nodes that stop while operators ask them.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>

#include "deployment.h"
#include "fetch.h"

#define TEST_TIMEOUT_S 200
#define STOPS 12
#define ASKERS 8
#define ASK_US 100000
#define START_MS 15000
#define ASK_TIMEOUT_MS 500
#define URL_BYTES 128
#define HTTP_OK 200

static struct deployment *deployment;
static struct host *subject;
static _Atomic bool done;

static void *
ask(void *arg)
{
	char url[URL_BYTES];
	struct fetch f = {"GET", url, NULL, NULL, 0, ASK_TIMEOUT_MS};
	struct fetch_answer a;

	(void)arg;
	(void)g_snprintf(url, sizeof(url), "http://%s:%u/v1/status",
	    subject->address, subject->admin_port);
	while (!done) {
		fetch_perform(&f, &a);
		fetch_answer_clear(&a);
	}
	return NULL;
}

/* Waits until the node answers: one that has not set up its signal handlers yet
 * ends by the signal that stops it. */
static void
await_subject(void)
{
	char url[URL_BYTES];

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/v1/status",
	    subject->address, subject->admin_port);
	ck_assert_msg(fetch_wait_status(url, HTTP_OK, START_MS),
	    "%s doesn't answer, logs are in %s", subject->name, harness_dir());
}

/* Guards against a node that ends by a signal of its own, since the control
 * thread answers a question whose server has been freed. */
START_TEST(a_node_that_is_asked_while_it_stops_ends_in_order)
{
	pthread_t askers[ASKERS];
	int i;

	deployment = deployment_new(&deployment_registry);
	deployment_start_nodes(deployment);
	subject = deployment_host(deployment, 0);
	for (i = 0; i < ASKERS; i++)
		ck_assert_int_eq(
		    pthread_create(&askers[i], NULL, ask, NULL), 0);
	for (i = 0; i < STOPS; i++) {
		await_subject();
		g_usleep(ASK_US);
		ck_assert_int_eq(deployment_stop_node(subject), 0);
		deployment_start_node(deployment, subject);
	}
	done = true;
	for (i = 0; i < ASKERS; i++)
		(void)pthread_join(askers[i], NULL);
	deployment_wait_members(
	    deployment, deployment->hosts->len, DEPLOYMENT_START_MS);
	ck_assert_int_eq(deployment_stop(deployment), 0);
	deployment_free(deployment);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("admin stop");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, a_node_that_is_asked_while_it_stops_ends_in_order);
	return harness_run(tc, TEST_TIMEOUT_S);
}
