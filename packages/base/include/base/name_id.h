/*
 * Identifiers of names.  Names come from operators, upstreams and settings in
 * any length; tables and messages hold identifiers of a fixed size.  A plain
 * name that fits is its own identifier.  Any other name is identified by a
 * digest, so all nodes derive the same identifier without exchanging it, and
 * names that begin alike keep different ones.
 */
#ifndef BASE_NAME_ID_H
#define BASE_NAME_ID_H

#include <stdbool.h>
#include <stddef.h>

/* Size of an identifier, including the terminating zero. */
#define NAME_ID_BYTES 32

/**
 * enum name_kind - characters that a name may have in its identifier
 * @NAME_OF_SERVICE: those of service_name_valid(); also for versions of
 *	software
 * @NAME_OF_HOST: letters, digits, '.', '_' and '-'; also for data centres and
 *	regions
 */
enum name_kind {
	NAME_OF_SERVICE = 0,
	NAME_OF_HOST,
};

/**
 * name_id() - identifier of a name
 * @kind: kind of the name
 * @name: the name, zero-terminated and of any length
 * @id: receives the identifier; empty if @name is empty
 *
 * Return: @id.
 */
const char *
name_id(enum name_kind kind, const char *name, char id[NAME_ID_BYTES]);

/** name_id_is_name() - whether a name is its own identifier */
bool name_id_is_name(enum name_kind kind, const char *name);

#endif
