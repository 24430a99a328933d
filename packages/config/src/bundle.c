/*
 * Bundles: parsing, reporting of problems, and conversion to sections.
 */
#include <string.h>

#include "config/catalog.h"

#include "bundle_read.h"
#include "bundle_scan.h"
#include "parts.h"
#include "rules.h"
#include "section_build.h"

/* The parser's message without the text that it quotes, which may be a key of a
 * customer.  A duplicate member is named by its own name, which is none. */
static char *
syntax_message(const json_error_t *error)
{
	const char *quote = strstr(error->text, " near '");

	if (quote == NULL || json_error_code(error) == json_error_duplicate_key)
		return g_strdup(error->text);
	return g_strndup(error->text, (gsize)(quote - error->text));
}

/* Parse the text.  After a duplicate key, which is recorded as a problem, the
 * text is parsed again without that check to find further problems. */
static json_t *
load_json(const char *json, size_t len, struct problems *p)
{
	json_error_t error;
	json_t *root;
	char *message;

	root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &error);
	if (root != NULL)
		return root;
	message = syntax_message(&error);
	problems_add(p, NULL, "correct the JSON", "line %d, column %d: %s",
	    error.line, error.column, message);
	g_free(message);
	if (json_error_code(&error) == json_error_duplicate_key)
		return json_loadb(json, len, 0, &error);
	return NULL;
}

static int
section_compare(const void *a, const void *b)
{
	const struct section *const *x = a, *const *y = b;

	return strcmp((*x)->config->section, (*y)->config->section);
}

/* Run the checks that a node makes when it receives the section. */
static void
verify_section(const struct section *section, struct problems *p)
{
	struct service_config *sc;
	const uint8_t *data;
	size_t len;

	data = g_bytes_get_data(section->content, &len);
	if (section_decode(data, len, &sc) != STATUS_OK)
		problems_add(p, NULL, "report this as a defect",
		    "section %s is invalid: %s", section->config->section,
		    status_message());
	service_config_unref(sc);
}

static void
check_total_bytes(const struct bundle *b, struct problems *p)
{
	const struct section *section;
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		total += g_bytes_get_size(section->content);
	}
	if (total > CONFIG_MAX_BYTES)
		problems_add(p, NULL, "split the bundle",
		    "the sections have %" G_GUINT64_FORMAT
		    " bytes, the limit is %" G_GUINT64_FORMAT,
		    total, CONFIG_MAX_BYTES);
}

/* Split a bundle without problems into sections. */
static void
build_sections(struct bundle *b, const struct bundle_reader *r)
{
	struct draft *d;
	uint32_t i;

	for (i = 0; i < r->drafts->len; i++) {
		d = g_ptr_array_index(r->drafts, i);
		d->m.routes = (struct rec_section_route *)d->routes->data;
		d->m.n_routes = d->routes->len;
		parts_split(&d->m, b->sections);
		/* Frees most of the reader's memory early. */
		g_array_unref(d->routes);
		d->routes = NULL;
	}
	bundle_split_customers(r, b->sections);
	g_ptr_array_sort(b->sections, section_compare);
	for (i = 0; i < b->sections->len; i++)
		verify_section(g_ptr_array_index(b->sections, i), r->p);
	check_total_bytes(b, r->p);
}

static enum status
read_json(struct bundle_reader *r, const char *json, size_t len)
{
	enum status st;
	json_t *root;

	st = bundle_scan(json, len, r->p);
	if (st != STATUS_OK)
		return st;
	root = load_json(json, len, r->p);
	if (root == NULL)
		return STATUS_INVALID;
	bundle_read(r, root);
	json_decref(root);
	return STATUS_OK;
}

static enum status
report_problems(struct bundle *b, enum status st)
{
	char *summary;

	if (st == STATUS_OK)
		return st;
	g_ptr_array_set_size(b->sections, 0);
	summary = problems_summary(b->problems, b->n_problems);
	(void)status_set(st, "The bundle has %u %s. %s", b->n_problems,
	    b->n_problems == 1 ? "problem" : "problems", summary);
	g_free(summary);
	return st;
}

enum status
bundle_reader_end(
    struct bundle_reader *r, enum status st, struct bundle **bundle)
{
	struct problems *p = r->p;
	struct bundle *b;
	GArray *list;

	b = g_new0(struct bundle, 1);
	b->sections = g_ptr_array_new_with_free_func(section_free);
	g_strlcpy(b->name, r->name, sizeof(b->name));
	if (st == STATUS_OK && p->n_found == 0)
		build_sections(b, r);
	if (st == STATUS_OK && p->n_found > 0)
		st = STATUS_INVALID;
	b->problems = g_ptr_array_ref(p->list);
	b->n_problems = p->n_found;
	b->warnings = g_ptr_array_ref(p->warnings);
	b->n_warnings = p->n_warned;
	if (st == STATUS_OK) {
		bundle_section_list(b, &list, &b->root);
		g_array_unref(list);
	}
	*bundle = b;
	return report_problems(b, st);
}

enum status
bundle_parse(const char *json, size_t len, struct bundle **bundle)
{
	struct bundle_reader r;
	struct problems p;
	enum status st;

	problems_init(&p);
	bundle_reader_init(&r, &p);
	st = read_json(&r, json, len);
	st = bundle_reader_end(&r, st, bundle);
	bundle_reader_clear(&r);
	problems_clear(&p);
	return st;
}

static struct section *
section_from_catalog(const struct catalog *c, uint32_t i)
{
	struct section *s = g_new0(struct section, 1);
	struct service_config *config = catalog_section(c, i);

	s->config = service_config_ref(config);
	s->content = g_bytes_ref(catalog_content(c, &config->digest));
	return s;
}

struct bundle *
bundle_from_catalog(const struct catalog *c)
{
	struct bundle *b = g_new0(struct bundle, 1);
	uint32_t i;

	b->sections = g_ptr_array_new_with_free_func(section_free);
	b->problems = g_ptr_array_new();
	b->warnings = g_ptr_array_new();
	b->root = *catalog_root(c);
	for (i = 0; i < catalog_n_sections(c); i++)
		g_ptr_array_add(b->sections, section_from_catalog(c, i));
	return b;
}

uint32_t
bundle_n_services(const struct bundle *bundle)
{
	const struct service_config *sc, *before = NULL;
	uint32_t i, n = 0;

	for (i = 0; i < bundle->sections->len; i++, before = sc) {
		sc = ((struct section *)g_ptr_array_index(bundle->sections, i))
			 ->config;
		if (!sc->holds_customers &&
		    (before == NULL || strcmp(before->name, sc->name) != 0))
			n++;
	}
	return n;
}

void
bundle_free(struct bundle *bundle)
{
	if (bundle == NULL)
		return;
	g_ptr_array_unref(bundle->sections);
	g_ptr_array_unref(bundle->problems);
	g_ptr_array_unref(bundle->warnings);
	g_free(bundle);
}

char *
bundle_warnings(const struct bundle *bundle)
{
	return problems_summary(bundle->warnings, bundle->n_warnings);
}

void
bundle_section_list(
    const struct bundle *bundle, GArray **list, struct digest *root)
{
	const struct section *section;
	struct rec_section_ref ref;
	GBytes *content;
	uint32_t i;

	*list = g_array_new(FALSE, TRUE, sizeof(ref));
	for (i = 0; i < bundle->sections->len; i++) {
		section = g_ptr_array_index(bundle->sections, i);
		memset(&ref, 0, sizeof(ref));
		(void)g_strlcpy(
		    ref.section, section->config->section, sizeof(ref.section));
		ref.digest = section->config->digest;
		g_array_append_val(*list, ref);
	}
	content = section_list_encode(*list, root);
	g_bytes_unref(content);
}
