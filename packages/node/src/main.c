/*
 * bramleydrift: the node process that runs on each upstream host.
 */
#define LOG_PART "main"

#include <locale.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <time.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "net/descriptors.h"
#include "node/node.h"
#include "platform/platform.h"
#include "proto/settings.h"

enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_SETTINGS = 3,
};

static char *settings_path;
static gboolean check_settings;
static gboolean print_settings;
static gboolean show_version;

static GOptionEntry entries[] = {
    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path,
	"Settings of this node, a JSON file", "FILE"},
    {"check-settings", 0, 0, G_OPTION_ARG_NONE, &check_settings,
	"Check the settings and exit", NULL},
    {"print-settings", 0, 0, G_OPTION_ARG_NONE, &print_settings,
	"Print the settings in effect as JSON and exit", NULL},
    {"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
	"Print the release and exit", NULL},
    {0},
};

static const char description[] =
    "Exit codes: 0 stopped as asked, 1 failed, 2 usage, 3 wrong settings.\n"
    "SIGTERM and SIGINT stop gracefully: no request in flight is cut.\n"
    "SIGHUP has the settings read again.\n";

/* Parses the command line; returns an exit code, or -1 to continue. */
static int
parse_options(int *argc, char ***argv)
{
	GOptionContext *ctx = g_option_context_new("- node of the mesh");
	GError *err = NULL;
	int code = -1;

	g_option_context_set_description(ctx, description);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &err)) {
		(void)fprintf(
		    stderr, "bramleydrift: %s; try --help.\n", err->message);
		g_error_free(err);
		code = EXIT_USAGE;
	} else if (show_version) {
		(void)printf("bramleydrift %s\n", BRAMLEY_VERSION);
		code = EXIT_OK;
	} else if (*argc > 1) {
		(void)fprintf(stderr,
		    "bramleydrift: \"%s\" is not an option; try --help.\n",
		    (*argv)[1]);
		code = EXIT_USAGE;
	} else if (settings_path == NULL) {
		(void)fprintf(stderr,
		    "bramleydrift: no settings; give --settings FILE.\n");
		code = EXIT_USAGE;
	}
	g_option_context_free(ctx);
	return code;
}

/* Loads the settings; prints all errors. */
static int
load_settings(struct settings *s)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	int ok = settings_load(settings_path, s, errors) == STATUS_OK;
	guint i;

	for (i = 0; i < errors->len; i++)
		(void)fprintf(stderr, "bramleydrift: %s\n",
		    (const char *)g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
	return ok;
}

static void
show_settings(const struct settings *s)
{
	GString *out = g_string_new(NULL);

	settings_print(s, out);
	(void)fputs(out->str, stdout);
	g_string_free(out, TRUE);
}

/* Blocks the signals, which only the main thread receives, by sigwait(). */
static void
block_signals(sigset_t *set)
{
	(void)sigemptyset(set);
	(void)sigaddset(set, SIGTERM);
	(void)sigaddset(set, SIGINT);
	(void)sigaddset(set, SIGHUP);
	(void)pthread_sigmask(SIG_BLOCK, set, NULL);
	(void)signal(SIGPIPE, SIG_IGN);
}

static uint64_t
random_seed(const struct settings *s)
{
	uint64_t now_us = clock_now_us();

	return hash64(&now_us, sizeof(now_us), clock_wall_ms()) ^
	    hash64(s->host, sizeof(s->host), now_us);
}

static const struct node_adapter *
adapter_of(const struct settings *s)
{
	switch (s->adapter) {
	case SETTINGS_ADAPTER_NONE:
		return NULL;
	case SETTINGS_ADAPTER_PLATFORM:
		return &platform_adapter;
	}
	return NULL;
}

/* Rereads the settings.  Only the log level can change while the node runs. */
static void
reload(const struct settings *s)
{
	struct settings next;

	if (!load_settings(&next)) {
		log_warning(
		    "The settings could not be reloaded: %s", status_message());
		return;
	}
	log_set_level(next.log_level);
	log_info("Settings reloaded; %s.",
	    next.adapter == s->adapter && next.address == s->address
		? "only the log level was applied"
		: "a change of address or adapter needs a restart");
}

/* Waits for a signal to stop and returns it; reloads the settings on SIGHUP. */
static int
wait_for_stop_signal(const struct settings *s, const sigset_t *set)
{
	int sig = 0;

	for (;;) {
		(void)sigwait(set, &sig);
		if (sig != SIGHUP)
			return sig;
		reload(s);
	}
}

static int
run(const struct settings *s, const sigset_t *set)
{
	struct node *n;
	int sig;

	log_start(s->log_level, s->host);
	if (node_start(s, adapter_of(s), clock_wall_ms(), random_seed(s), &n) !=
	    STATUS_OK) {
		log_error("%s", status_message());
		log_stop();
		return EXIT_FAILED;
	}
	sig = wait_for_stop_signal(s, set);
	log_info("Signal %d received; stopping gracefully.", sig);
	node_stop(n);
	log_info("Stopped.");
	log_stop();
	return EXIT_OK;
}

/*
 * Bodies, answers and configurations of hundreds of KB are allocated and freed
 * frequently.  Blocks from this size on are mapped and returned to the system
 * when freed.  Without a fixed threshold the C library would raise it to the
 * largest block freed, and keep all that memory.
 */
#define MMAP_THRESHOLD_BYTES 65536
/* Upper limit where the system sets none. */
#define DESCRIPTORS_MAX 1048576U
/* Fewer leave some uses hardly any. */
#define DESCRIPTORS_FEW 512U

/* Uses one arena for all threads, so that memory freed by one can be reused by
 * another. */
static void
limit_heap(void)
{
	(void)mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	(void)mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES);
	(void)mallopt(M_ARENA_MAX, 1);
}

/* Uses all descriptors that the system and the settings allow. */
static void
limit_descriptors(const struct settings *s)
{
	struct rlimit limit;
	uint64_t max = s->descriptors_max;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
		limit.rlim_cur = limit.rlim_max;
		(void)setrlimit(RLIMIT_NOFILE, &limit);
		(void)getrlimit(RLIMIT_NOFILE, &limit);
		if (max == 0 || limit.rlim_cur < max)
			max = limit.rlim_cur;
	}
	if (max == 0)
		return;
	if (max < DESCRIPTORS_FEW)
		log_warning("The process may have only %" G_GUINT64_FORMAT
			    " descriptors; %u or more are recommended.",
		    max, DESCRIPTORS_FEW);
	descriptors_set_limit((uint32_t)MIN(max, DESCRIPTORS_MAX));
}

int
main(int argc, char *argv[])
{
	struct settings s;
	sigset_t set;
	int code;

	/* Blocked before anything else, so that a signal during the start stops
	 * the node gracefully once it has started. */
	block_signals(&set);
	limit_heap();
	/* Only the help text follows the locale; numbers are formatted as in
	 * the C locale. */
	(void)setlocale(LC_CTYPE, "");
	code = parse_options(&argc, &argv);
	if (code >= 0)
		return code;
	if (!load_settings(&s))
		return EXIT_SETTINGS;
	if (print_settings)
		show_settings(&s);
	if (print_settings || check_settings)
		return EXIT_OK;
	limit_descriptors(&s);
	return run(&s, &set);
}
