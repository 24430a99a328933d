/*
 * The checker: one dense order of versions, each whole on the platform when
 * it comes into force, in_force the highest not halted, each operation done
 * once at most, and every operator told what is so.
 */
#include "check_world.h"

#include <stdarg.h>
#include <string.h>

static void __attribute__((format(printf, 2, 3)))
violation(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->violation[0] != '\0')
		return;
	va_start(ap, fmt);
	(void)g_vsnprintf(w->violation, sizeof(w->violation), fmt, ap);
	va_end(ap);
}

static const struct deed *
deed_at(const struct world *w, uint32_t i)
{
	return &g_array_index(w->deeds, struct deed, i);
}

/* Ids of a naive operation's starts differ after the dot only. */
static bool
same_op(const char *deed_op, const char *op)
{
	size_t len = strlen(op);

	return strncmp(deed_op, op, len) == 0 &&
	    (deed_op[len] == '\0' || deed_op[len] == '.');
}

static const struct deed *
find_deed(const struct world *w, const char *op, uint32_t *n)
{
	const struct deed *found = NULL;
	uint32_t i;

	*n = 0;
	for (i = 0; i < w->deeds->len; i++) {
		if (same_op(deed_at(w, i)->op, op)) {
			found = deed_at(w, i);
			(*n)++;
		}
	}
	return found;
}

static uint64_t
highest_not_halted(const struct world *w)
{
	uint64_t version = 0;
	uint32_t i, j;

	for (i = 0; i < w->deeds->len; i++) {
		for (j = i + 1; j < w->deeds->len; j++) {
			if (deed_at(w, j)->halt &&
			    deed_at(w, j)->version == deed_at(w, i)->version)
				break;
		}
		if (j == w->deeds->len && !deed_at(w, i)->halt)
			version = deed_at(w, i)->version;
	}
	return version;
}

static GArray *
list_of(struct world *w, const struct digest *root)
{
	char hex[DIGEST_HEX_BYTES], key[STORE_KEY_BYTES];
	GArray *list = NULL;
	const uint8_t *data;
	GBytes *content;
	size_t len;

	hash_digest_hex(root, hex);
	g_snprintf(key, sizeof(key), "root/%s", hex);
	content = g_hash_table_lookup(w->objects, key);
	if (content == NULL)
		return g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	data = g_bytes_get_data(content, &len);
	if (section_list_decode(data, len, root, &list) != STATUS_OK)
		violation(w, "root object is damaged");
	return list;
}

/* All of the version is on the platform, and its changes lead to it. */
static void
check_whole(struct world *w, const struct signoff_action *a)
{
	char hex[DIGEST_HEX_BYTES], key[STORE_KEY_BYTES];
	static const struct digest none;
	struct msg_version_changes m;
	GArray *before, *after, *list;
	struct digest root;
	const struct row *row;
	uint32_t i;

	row = w->rows->len > 0 ? g_ptr_array_index(w->rows, w->rows->len - 1)
			       : NULL;
	before = list_of(w, row != NULL ? &row->v.root : &none);
	list = list_of(w, &a->version.root);
	for (i = 0; i < list->len; i++) {
		hash_digest_hex(
		    &g_array_index(list, struct rec_section_ref, i).digest,
		    hex);
		g_snprintf(key, sizeof(key), "section/%s", hex);
		if (!g_hash_table_contains(w->objects, key))
			violation(w,
			    "version %" G_GUINT64_FORMAT " lacks a section",
			    a->version.version);
	}
	if (msg_version_changes_decode(
		a->version.changes, a->version.changes_bytes, &m) != STATUS_OK)
		violation(w, "changes of a version can't be read");
	w->n_whole += m.whole;
	after = section_list_apply(before, m.changes, m.n_changes);
	g_bytes_unref(section_list_encode(after, &root));
	if (!m.whole && !hash_digest_equal(&root, &a->version.root))
		violation(w, "changes do not lead to the root");
	if (m.replaced.seq != w->head.seq ||
	    strcmp(m.replaced.op, w->head.op) != 0)
		violation(w, "row names another head");
	msg_version_changes_clear(&m);
	g_array_unref(before);
	g_array_unref(after);
	g_array_unref(list);
}

static void
check_roots(struct world *w)
{
	static const struct digest none;
	const struct row *row = NULL;

	if (w->head.in_force > 0)
		row = g_ptr_array_index(w->rows, w->head.in_force - 1);
	if (!hash_digest_equal(
		&w->head.root, row != NULL ? &row->v.root : &none))
		violation(w, "head's root is not that of the one in force");
}

void
check_write(struct world *w, const struct signoff_action *a)
{
	struct deed deed;
	uint32_t n;

	memset(&deed, 0, sizeof(deed));
	g_strlcpy(deed.op, a->head.op, sizeof(deed.op));
	deed.version = a->head.version;
	deed.halt = !a->has_version;
	deed.head = a->head;
	(void)find_deed(w, deed.op, &n);
	if (n > 0)
		violation(w, "operation %s is done twice", deed.op);
	if (a->head.seq != w->head.seq + 1)
		violation(w, "seq skips");
	if (w->head.seq > 0)
		check_roots(w);
	if (deed.halt &&
	    (deed.version != w->head.version || w->head.state == STORE_HALTED ||
		a->head.state != STORE_HALTED))
		violation(w, "halt of what is not rolling");
	if (!deed.halt &&
	    (deed.version != w->rows->len + 1 ||
		a->version.version != deed.version ||
		a->version.parent != w->rows->len))
		violation(w, "versions are not dense");
	if (!deed.halt)
		check_whole(w, a);
	g_array_append_val(w->deeds, deed);
	if (a->head.in_force != highest_not_halted(w))
		violation(w, "in_force is not the highest not halted");
}

/* Who did a deed, by name; NULL when nobody asked for it. */
static const char *
operator_of(const struct world *w, const char *op)
{
	const struct actor *actor;
	uint32_t i;

	for (i = 0; i < w->actors->len; i++) {
		actor = g_ptr_array_index(w->actors, i);
		if (same_op(op, actor->req.op))
			return actor->req.operator_name;
	}
	return NULL;
}

/* That a halt's note could not be read may be said by leaving the name out. */
static bool
named_rightly(const struct world *w, const struct signoff_outcome *o)
{
	if (o->result == SIGNOFF_ALREADY_HALTED &&
	    o->winner_operator[0] == '\0')
		return true;
	return g_strcmp0(operator_of(w, o->winner_op), o->winner_operator) == 0;
}

/* The one named as first did what it is said to have done. */
static void
check_winner(struct world *w, const struct actor *actor)
{
	const struct signoff_outcome *o = &actor->outcome;
	const struct deed *deed;
	uint32_t n;

	deed = find_deed(w, o->winner_op, &n);
	if (deed == NULL || deed->version != o->winner_version ||
	    deed->halt != o->winner_halted || !named_rightly(w, o))
		violation(w, "%s was told wrongly that %s of %s was first",
		    actor->req.op, o->winner_op, o->winner_operator);
	if (o->result == SIGNOFF_CONFLICT && actor->req.has_parent &&
	    o->winner_version != actor->req.parent + 1)
		violation(w, "%s was told a later winner", actor->req.op);
}

/* Whether another start had the same id: this one can speak for itself only. */
static bool
started_elsewhere(const struct world *w, const struct actor *actor)
{
	const struct actor *other;
	uint32_t i;

	for (i = 0; i < w->actors->len; i++) {
		other = g_ptr_array_index(w->actors, i);
		if (other != actor && strcmp(other->req.op, actor->req.op) == 0)
			return true;
	}
	return false;
}

static bool
same_head(const struct store_head *a, const struct store_head *b)
{
	return a->seq == b->seq && a->version == b->version &&
	    a->in_force == b->in_force && a->state == b->state &&
	    hash_digest_equal(&a->root, &b->root);
}

static void
check_told(struct world *w, const struct actor *actor)
{
	const struct signoff_outcome *o = &actor->outcome;
	const struct deed *deed;
	uint32_t n;

	deed = find_deed(w, actor->req.op, &n);
	if (n > 1)
		violation(w, "operation %s is done twice", actor->req.op);
	switch (o->result) {
	case SIGNOFF_DONE:
		if (deed == NULL || deed->version != o->version)
			violation(w, "%s was told done wrongly", actor->req.op);
		else if (!o->repeated && !same_head(&deed->head, &actor->sent))
			violation(w, "%s was told that its write did it",
			    actor->req.op);
		break;
	case SIGNOFF_UNKNOWN:
		break;
	case SIGNOFF_UNAVAILABLE:
	case SIGNOFF_INVALID:
		if (deed != NULL && !started_elsewhere(w, actor))
			violation(w, "%s was told nothing was done wrongly",
			    actor->req.op);
		break;
	case SIGNOFF_CONFLICT:
	case SIGNOFF_ALREADY_HALTED:
		check_winner(w, actor);
		/* fall through */
	default:
		if (deed != NULL)
			violation(w, "%s was told %s, but is done",
			    actor->req.op, signoff_result_name(o->result));
		break;
	}
}

bool
world_check(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->actors->len; i++)
		check_told(w, g_ptr_array_index(w->actors, i));
	return w->violation[0] == '\0';
}
