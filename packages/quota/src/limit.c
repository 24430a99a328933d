/*
 * Assignment of customers to shards.
 */
#include "quota/limit.h"

#include "base/hash.h"

#define SHARD_SEED 11

uint32_t
quota_shard(uint64_t customer)
{
	return (uint32_t)(hash64(&customer, sizeof(customer), SHARD_SEED) %
	    QUOTA_SHARDS);
}
