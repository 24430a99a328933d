/*
 * Rows as items of the table service: DynamoDB's JSON form of attributes.
 */
#ifndef STORE_ITEM_H
#define STORE_ITEM_H

#include <stdbool.h>

#include <jansson.h>

#include "store/store.h"

/** ITEM_KEY - name of the key attribute */
#define ITEM_KEY "pk"
/** ITEM_SEQ - attribute of the head row on which writes are conditional */
#define ITEM_SEQ "seq"

/** item_number() - encode a number as an attribute value */
json_t *item_number(uint64_t n);

/** item_head_key() - encode the key of the head row, as an item without other
 * attributes */
json_t *item_head_key(void);

/** item_version_key() - encode the key of a version row, as an item */
json_t *item_version_key(uint64_t version);

/** item_from_head() - encode the head row as an item */
json_t *item_from_head(const struct store_head *head);

/** item_from_version() - encode a version row as an item */
json_t *item_from_version(const struct store_version *version);

/**
 * item_to_head() - decode the head row
 * @item: the item
 * @head: set to the row
 *
 * Return: whether the item is a head row.
 */
bool item_to_head(const json_t *item, struct store_head *head);

/**
 * item_to_version() - decode a version row
 * @item: the item
 * @version: set to the row; release it with item_version_clear()
 *
 * Return: whether the item is a version row.
 */
bool item_to_version(const json_t *item, struct store_version *version);

/** item_version_clear() - free the memory of item_to_version() */
void item_version_clear(struct store_version *version);

/** item_to_version_number() - decode the version in a key; false if the key has
 * none */
bool item_to_version_number(const json_t *item, uint64_t *version);

#endif
