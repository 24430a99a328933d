/*
 * Compilation of the table of customers from its sections.
 */
#ifndef CONFIG_CUSTOMER_TABLE_H
#define CONFIG_CUSTOMER_TABLE_H

#include <glib.h>

#include "config/customer.h"
#include "config/service.h"

/*
 * A customer whose keys don't fit into one record has further records with the
 * name of the customer, this character and a number.  Names of customers have
 * no control characters.
 */
#define CUSTOMER_PART_MARK '\x1f'

/* Bytes of a customer's name that a message shows. */
#define CUSTOMER_SHOWN_BYTES 40

/** customer_is_part() - whether a record is a further one of its customer */
bool customer_is_part(const char *name);

/** customer_base_len() - length of the name of a record's customer
 * @name: name of the record
 * @len: its length
 */
uint32_t customer_base_len(const char *name, uint32_t len);

/**
 * customer_table_new() - compile the table of customers
 * @sections: struct service_config, sorted by section
 * @table: receives the table, NULL without sections of customers; the caller
 *	owns a reference
 *
 * Return: STATUS_OK, or STATUS_INVALID if two customers have one name or one
 * key, or a further record lacks the first one.
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
