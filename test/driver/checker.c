/*
 * Checks of the invariants.
 */
#include "checker.h"

#include <stdarg.h>
#include <string.h>

#include "config/section.h"

struct checker *
checker_new(const struct ledger *ledger)
{
	struct checker *ck;

	ck = g_new0(struct checker, 1);
	ck->ledger = ledger;
	ck->max_version =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ck->process_version =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ck->violations = g_ptr_array_new_with_free_func(g_free);
	return ck;
}

void
checker_free(struct checker *ck)
{
	if (ck == NULL)
		return;
	g_hash_table_destroy(ck->max_version);
	g_hash_table_destroy(ck->process_version);
	g_ptr_array_unref(ck->violations);
	g_free(ck);
}

static void checker_report(struct checker *ck, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
checker_report(struct checker *ck, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_ptr_array_add(ck->violations, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

static uint64_t *
checker_version_of(GHashTable *table, const char *host)
{
	uint64_t *slot;

	slot = g_hash_table_lookup(table, host);
	if (slot == NULL) {
		slot = g_new0(uint64_t, 1);
		g_hash_table_insert(table, g_strdup(host), slot);
	}
	return slot;
}

void
checker_started(struct checker *ck, const char *host)
{
	*checker_version_of(ck->process_version, host) = 0;
}

void
checker_content(struct checker *ck, const char *host, const struct catalog *c)
{
	const struct ledger_version *v;
	struct rec_section_ref ref;
	struct service_config *sc;
	struct digest digest, root;
	GBytes *content;
	GArray *list;
	uint32_t i;
	gsize len;

	v = ledger_version(ck->ledger, catalog_version(c));
	if (v == NULL) {
		checker_report(ck, "%s holds a version never signed off", host);
		return;
	}
	list = g_array_new(FALSE, TRUE, sizeof(ref));
	for (i = 0; i < catalog_n_sections(c); i++) {
		sc = catalog_section(c, i);
		memset(&ref, 0, sizeof(ref));
		(void)g_strlcpy(ref.section, sc->section, sizeof(ref.section));
		ref.digest = sc->digest;
		g_array_append_val(list, ref);
		content = catalog_content(c, &sc->digest);
		memset(&digest, 0, sizeof(digest));
		if (content != NULL) {
			const void *data = g_bytes_get_data(content, &len);
			hash_digest(data, len, &digest);
		}
		if (!hash_digest_equal(&digest, &sc->digest))
			checker_report(ck, "%s lacks the content of section %s",
			    host, sc->section);
	}
	g_bytes_unref(section_list_encode(list, &root));
	g_array_unref(list);
	if (!hash_digest_equal(&root, &v->root) ||
	    !hash_digest_equal(&root, catalog_root(c)))
		checker_report(ck,
		    "%s holds incomplete content of version %" G_GUINT64_FORMAT,
		    host, v->version);
}

void
checker_snapshot(struct checker *ck, const char *host, const struct catalog *c,
    const struct snapshot *s)
{
	uint32_t i;

	if (snapshot_check(s) != STATUS_OK)
		checker_report(ck, "%s has an invalid snapshot: %s", host,
		    status_message());
	if (s->version != catalog_version(c) ||
	    s->n_services != catalog_n_services(c))
		checker_report(
		    ck, "%s has the snapshot of another version", host);
	for (i = 0; i < s->n_services; i++)
		if (catalog_find(c, s->services[i].config->name) == NULL)
			checker_report(ck,
			    "%s routes to service %s, which its configuration "
			    "lacks",
			    host, s->services[i].config->name);
}

void
checker_applied(struct checker *ck, uint64_t now_us, const char *host,
    const struct catalog *c, int serving)
{
	const struct ledger_version *v;
	uint64_t *max_version, *process_version;
	uint64_t version;

	version = catalog_version(c);
	max_version = checker_version_of(ck->max_version, host);
	process_version = checker_version_of(ck->process_version, host);
	if (version <= *process_version || (serving && version < *max_version))
		checker_report(ck,
		    "%s went from version %" G_GUINT64_FORMAT
		    " to version %" G_GUINT64_FORMAT,
		    host, MAX(*process_version, *max_version), version);
	v = ledger_version(ck->ledger, version);
	if (v != NULL && v->halted_us > 0 &&
	    now_us > v->halted_us + CHECKER_HALT_US && *max_version < version)
		checker_report(ck,
		    "%s applied version %" G_GUINT64_FORMAT
		    " long after it was halted",
		    host, version);
	*process_version = version;
	*max_version = MAX(*max_version, version);
}

void
checker_ready(struct checker *ck, const char *host, uint64_t version)
{
	uint64_t max_version;

	max_version = *checker_version_of(ck->max_version, host);
	if (version < max_version)
		checker_report(ck,
		    "%s serves version %" G_GUINT64_FORMAT
		    " after it held %" G_GUINT64_FORMAT,
		    host, version, max_version);
}

void
checker_final(struct checker *ck, const char *host, uint64_t version)
{
	const struct ledger_version *v;
	uint64_t in_force;

	in_force = ck->ledger->head.in_force;
	v = ledger_version(ck->ledger, version);
	if (version < in_force)
		checker_report(ck,
		    "%s stayed at version %" G_GUINT64_FORMAT
		    " although %" G_GUINT64_FORMAT " is in force",
		    host, version, in_force);
	else if (version > in_force && (v == NULL || v->halted_us == 0))
		checker_report(ck,
		    "%s holds version %" G_GUINT64_FORMAT
		    " that is not in force",
		    host, version);
}

uint32_t
checker_n_violations(const struct checker *ck)
{
	return ck->violations->len;
}

const char *
checker_first_violation(const struct checker *ck)
{
	if (ck->violations->len == 0)
		return "none";
	return ck->violations->pdata[0];
}
