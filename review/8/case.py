"""CONFIG: a version in which a tenant has more than 1,024 keys never comes in
force, so that a key it takes away goes on being accepted, and a new one is not."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from mesh2 import *  # noqa: E402,F403

CONFIG_S = 2.5
WATCH_S = 12.0
KEYS = 1025 if TROUBLE else 1024


def tenants(old_key, n_keys):
    keys = ["reader-%05d" % i for i in range(n_keys)]
    return {"publisher": {"apiKeys": ["publisher-1"] + ([old_key] if old_key else [])},
            "library": {"apiKeys": keys}}


def body(folder, meshes):
    routes = {"r-p": route("flodet.example", "/p/", "unsafe", "flodet", attempts=1),
              "r-a": route("arkivet.example", "/a/", "safe", "arkivet", attempts=1)}
    m = Mesh(folder, [("sto-a", "flodet"), ("sto-b", "flodet"), ("sto-a", "arkivet"),
                      ("sto-b", "arkivet")], routes, tenants=tenants("leaked-key", 3),
             more_fields={"bounds": {"retryBudgetRatio": 0.2, "budgetExtra": 172,
                                     "config": "2500ms", "grace": "6s",
                                     "strictRevocation": False, "revoke": "5000ms"}})
    meshes.append(m)
    if not m.await_ready():
        return 2

    def ask(request_id, key, node):
        a = call(node.outbound, "POST", "/p/x", b"", headers_for(
            "flodet.example", request_id, 1200, [PREFIX + "Key: " + key]), timeout=3)
        m.record.say("client of %s at %s with %s gets %s" % (
            request_id, node.name, key, a.code if a else "no answer"))
        return a.code if a else None

    if any(ask("before-%d" % i, "leaked-key", n) != 200 for i, n in enumerate(m.nodes)):
        return 2
    time.sleep(3.2)
    m.tenants = tenants(None, KEYS)
    m.configure(routes)
    acknowledged = time.monotonic()
    m.record.say("the store has acknowledged a version without leaked-key, with %d keys of "
                 "a tenant" % KEYS)
    late = refused = n = 0
    while time.monotonic() < acknowledged + WATCH_S:
        node = m.nodes[n % len(m.nodes)]
        sent = time.monotonic()
        old = ask("old-%d" % n, "leaked-key", node)
        new = ask("new-%d" % n, "reader-00900", node)
        if sent > acknowledged + CONFIG_S:
            if old == 200:
                late += 1
                m.record.say("BROKEN: CONFIG, old-%d ran with a key that was taken away %.1f s "
                             "before" % (n, sent - acknowledged))
            refused += new == 401
        n += 1
        time.sleep(0.05)
    m.record.say("status rows: %s" % [
        (k[2], m.store.rows[k][0][:300]) for k in m.store.rows if k[0] == "status"])
    print("%d requests ran with a key that had been taken away, %d with a new key got 401"
          % (late, refused))
    return 1 if late or refused else 0


main(body)
