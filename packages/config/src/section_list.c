/*
 * Lists of sections and changes between them, all sorted by name.
 */
#include <string.h>

#include "config/section.h"
#include "proto/messages.h"

#define REF(list, i) (&g_array_index((list), struct rec_section_ref, (i)))

static GArray *
list_new(uint32_t n)
{
	return g_array_sized_new(
	    FALSE, TRUE, sizeof(struct rec_section_ref), n);
}

static void
add_change(GArray *out, const struct rec_section_ref *ref, bool removed)
{
	struct rec_section_change change;

	g_assert(ref != NULL);
	memset(&change, 0, sizeof(change));
	memcpy(change.section, ref->section, sizeof(change.section));
	change.removed = removed;
	if (!removed)
		change.digest = ref->digest;
	g_array_append_val(out, change);
}

/* Order of the next elements of two lists; the end of a list (NULL) sorts
 * last. */
static int
merge_order(const char *a, const char *b)
{
	if (a == NULL || b == NULL)
		return (a == NULL) - (b == NULL);
	return strcmp(a, b);
}

/* Name of an element, or NULL after the end of the list. */
static const char *
name_at(const GArray *list, uint32_t i)
{
	return i < list->len ? REF(list, i)->section : NULL;
}

GArray *
section_changes(const GArray *from, const GArray *to)
{
	uint32_t i = 0, j = 0;
	GArray *out;
	int order;

	out = g_array_new(FALSE, TRUE, sizeof(struct rec_section_change));
	while (i < from->len || j < to->len) {
		order = merge_order(name_at(from, i), name_at(to, j));
		if (order < 0)
			add_change(out, REF(from, i), true);
		else if (order > 0 ||
		    !hash_digest_equal(
			&REF(from, i)->digest, &REF(to, j)->digest))
			add_change(out, REF(to, j), false);
		i += order <= 0;
		j += order >= 0;
	}
	return out;
}

static void
add_ref(GArray *out, const struct rec_section_change *change)
{
	struct rec_section_ref ref;

	if (change->removed)
		return;
	memset(&ref, 0, sizeof(ref));
	memcpy(ref.section, change->section, sizeof(ref.section));
	ref.digest = change->digest;
	g_array_append_val(out, ref);
}

GArray *
section_list_apply(const GArray *from, const struct rec_section_change *changes,
    uint32_t n_changes)
{
	uint32_t i = 0, j = 0;
	GArray *out;
	int order;

	out = list_new(from->len + n_changes);
	while (i < from->len || j < n_changes) {
		order = merge_order(name_at(from, i),
		    j < n_changes ? changes[j].section : NULL);
		if (order < 0)
			g_array_append_vals(out, REF(from, i), 1);
		else
			add_ref(out, &changes[j]);
		i += order <= 0;
		j += order >= 0;
	}
	return out;
}

GBytes *
section_list_encode(const GArray *list, struct digest *root)
{
	struct msg_section_list m;
	GByteArray *out;

	memset(&m, 0, sizeof(m));
	m.sections = (struct rec_section_ref *)list->data;
	m.n_sections = list->len;
	out = g_byte_array_new();
	msg_section_list_encode(&m, out);
	if (root != NULL)
		hash_digest(out->data, out->len, root);
	return g_byte_array_free_to_bytes(out);
}

static enum status
sorted_check(const char *before, const char *section)
{
	if (!section_name_valid(section))
		return status_set(STATUS_INVALID,
		    "A list of sections holds a bad name of a section; take "
		    "it from another node.");
	if (before != NULL && strcmp(before, section) >= 0)
		return status_set(STATUS_INVALID,
		    "A list of sections is not sorted or names section %s "
		    "twice; take it from another node.",
		    section);
	return STATUS_OK;
}

enum status
section_list_valid(const GArray *list)
{
	enum status st = STATUS_OK;
	uint32_t i;

	for (i = 0; i < list->len && st == STATUS_OK; i++)
		st = sorted_check(i > 0 ? REF(list, i - 1)->section : NULL,
		    REF(list, i)->section);
	return st;
}

enum status
section_list_decode(
    const uint8_t *data, size_t len, const struct digest *root, GArray **list)
{
	struct msg_section_list m;
	struct digest digest;
	enum status st;

	*list = NULL;
	hash_digest(data, len, &digest);
	if (!hash_digest_equal(&digest, root))
		return status_set(STATUS_INVALID,
		    "A list of sections does not have the digest that names "
		    "it; take it from another node.");
	st = msg_section_list_decode(data, len, &m);
	if (st != STATUS_OK)
		return st;
	*list = list_new(m.n_sections);
	g_array_append_vals(*list, m.sections, m.n_sections);
	msg_section_list_clear(&m);
	st = section_list_valid(*list);
	if (st != STATUS_OK)
		g_clear_pointer(list, g_array_unref);
	return st;
}

enum status
section_changes_valid(
    const struct rec_section_change *changes, uint32_t n_changes)
{
	enum status st = STATUS_OK;
	uint32_t i;

	for (i = 0; i < n_changes && st == STATUS_OK; i++)
		st = sorted_check(
		    i > 0 ? changes[i - 1].section : NULL, changes[i].section);
	return st;
}
