/*
 * Customers: the holders of keys on whose behalf requests are made, with their
 * limits.  The table of a version is immutable and shared by snapshots.
 *
 * Keys are secrets.  A bundle names them; sections, tables and everything
 * derived from them hold only digests.
 */
#ifndef CONFIG_CUSTOMER_H
#define CONFIG_CUSTOMER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest name of a customer, including the terminating NUL.  Upstreams get the
 * name in a header; the head of a request takes at most 64 KiB. */
#define CUSTOMER_NAME_BYTES 65501

/* Bytes of a key's digest. */
#define CUSTOMER_KEY_BYTES 16

/* Largest rate and burst, in thousandths of a request. */
#define CUSTOMER_LIMIT_MAX_MILLI UINT64_C(1000000000000)

/** CUSTOMER_PRIORITY_NONE - the customer has no priority of its own */
#define CUSTOMER_PRIORITY_NONE UINT32_MAX

/** CUSTOMER_ID_NONE - number of no customer */
#define CUSTOMER_ID_NONE UINT64_C(0)

/**
 * struct customer_key - digest of a key
 * @bytes: first bytes of its SHA-256
 */
struct customer_key {
	uint8_t bytes[CUSTOMER_KEY_BYTES];
};

/**
 * struct customer - a customer of one version; immutable
 * @name: its name; valid as long as the table
 * @id: number of the customer, the same in all versions and on all nodes
 * @priority: rank among the customers, 0 is the highest, or
 *	CUSTOMER_PRIORITY_NONE
 * @rate_milli_per_s: limit over all nodes, in thousandths of a request a
 *	second; 0 for none
 * @burst_milli: requests beyond the rate that may come at once, in thousandths
 */
struct customer {
	const char *name;
	uint64_t id;
	uint32_t priority;
	uint64_t rate_milli_per_s;
	uint64_t burst_milli;
};

struct customer_table;

/**
 * customer_key_make() - digest of a key as a caller sends it
 * @text: first byte of the key, of any value
 * @len: number of bytes
 * @key: receives the digest
 */
void customer_key_make(const char *text, size_t len, struct customer_key *key);

/**
 * customer_limit_milli() - a limit in thousandths of a request
 * @requests: number of requests, not negative
 *
 * Return: at least 1 for a number above 0, since 0 is no limit; at most
 * CUSTOMER_LIMIT_MAX_MILLI.
 */
uint64_t customer_limit_milli(double requests);

/** customer_id() - number of the customer with a name; never
 * CUSTOMER_ID_NONE */
uint64_t customer_id(const char *name);

/** customer_table_ref() - take a reference; any thread; Return: @t */
struct customer_table *customer_table_ref(struct customer_table *t);

/** customer_table_unref() - drop a reference; any thread; accepts NULL */
void customer_table_unref(struct customer_table *t);

/** customer_table_size() - number of customers; 0 for NULL */
uint32_t customer_table_size(const struct customer_table *t);

/** customer_table_at() - customer @i, in order of names */
const struct customer *
customer_table_at(const struct customer_table *t, uint32_t i);

/**
 * customer_table_find_key() - the customer that holds a key
 * @t: the table; NULL is empty
 * @key: digest of the key
 *
 * Return: the customer, valid as long as the table; NULL if no customer holds
 * the key.
 */
const struct customer *customer_table_find_key(
    const struct customer_table *t, const struct customer_key *key);

/**
 * customer_table_find_id() - the customer with a number
 * @t: the table; NULL is empty
 * @id: the number
 *
 * Return: the customer, valid as long as the table; NULL if there is none.
 */
const struct customer *
customer_table_find_id(const struct customer_table *t, uint64_t id);

#endif
