#include "cluster.h"

#include <check.h>

#include "checker.h"

struct fake_net *
cluster_begin(uint32_t seed, uint32_t n, uint32_t dcs, uint64_t timeout_ms)
{
	struct fake_net *f = fake_net_new(seed);

	fake_start_all(f, n, dcs);
	ck_assert_msg(fake_run_until(f, timeout_ms, fake_agreed) != UINT64_MAX,
	    "seed %u: %u nodes did not join", seed, n);
	return f;
}

void
cluster_wait(struct fake_net *f, uint32_t seed, uint64_t timeout_ms,
    int (*done)(struct fake_net *f), const char *what)
{
	ck_assert_msg(fake_run_until(f, timeout_ms, done) != UINT64_MAX,
	    "seed %u: not within %llu ms: %s", seed,
	    (unsigned long long)timeout_ms, what);
}

void
cluster_end(struct fake_net *f, uint32_t seed)
{
	const char *v = checker_violation(f->checker);

	ck_assert_msg(v == NULL, "seed %u: %s", seed, v);
	fake_net_free(f);
}
