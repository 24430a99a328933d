/*
 * A store that accesses the platform: DynamoDB's JSON protocol for the table
 * and S3's REST protocol for objects, the subset in docs/PLATFORM.md.
 */
#ifndef STORE_HTTP_STORE_H
#define STORE_HTTP_STORE_H

#include "net/http.h"
#include "store/store.h"

/**
 * http_store_new() - create a store
 * @client: the HTTP client; owned by the caller, must outlive the store
 * @loop: the client's loop
 * @table_url: "http://host:port" of the table service; copied
 * @object_url: "http://host:port" of the object store; copied
 */
struct store *http_store_new(struct http_client *client, struct loop *loop,
    const char *table_url, const char *object_url);

#endif
