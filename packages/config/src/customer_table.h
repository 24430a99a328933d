/*
 * Compilation of the table of customers from its sections.
 */
#ifndef CONFIG_CUSTOMER_TABLE_H
#define CONFIG_CUSTOMER_TABLE_H

#include <glib.h>

#include "config/service.h"

/**
 * customer_table_new() - compile the table of customers
 * @sections: struct service_config, sorted by section
 * @table: receives the table, NULL without sections of customers; the caller
 *	owns a reference
 *
 * Return: STATUS_OK, or STATUS_INVALID if two customers have one name or one
 * key.
 */
enum status
customer_table_new(const GPtrArray *sections, struct customer_table **table);

/** customer_table_is_of() - whether a table, or NULL, was compiled from the
 * sections of customers among @sections */
bool
customer_table_is_of(const struct customer_table *t, const GPtrArray *sections);

/** customer_table_bytes() - memory of a table in bytes; 0 for NULL */
uint64_t customer_table_bytes(const struct customer_table *t);

#endif
