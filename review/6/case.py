"""MIXED: the body of an interim answer (1xx) is passed on as the beginning of
the body of the answer that follows."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from mesh2 import *  # noqa: E402,F403

REQUESTS = 12
whole_of = {}
last_id = {}


def chunked(data):
    return b"%x\r\n" % len(data) + data + b"\r\n0\r\n\r\n"


def on_request(up, conn, request):
    """Surplus bytes with the id of an earlier request, then the real answer."""
    up.run(request)
    other = last_id.get(id(conn), "an-earlier-request")
    last_id[id(conn)] = request["id"]
    wrong = b"the booking of somebody else\n"
    whole = ("booking of %s at %s\n" % (request["id"], up.instance)).encode()
    whole_of[up.signature(request)] = whole
    if TROUBLE:
        conn.sendall(("HTTP/1.1 102 Processing\r\n%sRequest-Id: %s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % (PREFIX, other)).encode()
                     + chunked(wrong))
        up.say("surplus bytes with the id %s before the answer to %s" % (other, request["id"]))
    time.sleep(0.02)
    conn.sendall(("HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\n%sServer-Signature: %s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  % (PREFIX, request["id"], PREFIX, up.signature(request))).encode()
                 + chunked(whole))


def body(folder, meshes):
    routes = {"r-b": route("bokun.example", "/b/", "unsafe", "bokun"),
              "r-l": route("bokun.example", "/l/", "safe", "bokun")}
    m = Mesh(folder, [("a", "bokun"), ("b", "bokun")], routes, on_request=on_request)
    meshes.append(m)
    if not m.await_ready():
        return 2
    broken = successes = 0
    for i in range(REQUESTS):
        request_id = "req-%d" % i
        node = m.nodes[i % len(m.nodes)]
        method, path = ("POST", "/b/x") if i % 3 == 0 else ("GET", "/l/x")
        m.record.say("client sends %s %s as %s to %s" % (method, path, request_id, node.name))
        a = call(node.outbound, method, path, b"", headers_for("bokun.example", request_id))
        if a is None:
            m.record.say("client of %s: no complete answer" % request_id)
            continue
        m.record.say("client of %s gets %d, complete=%s, signature=%s, body=%r"
                     % (request_id, a.code, a.complete, a.signature(), a.body))
        if 200 <= a.code < 300 and a.complete:
            successes += 1
            if a.body != whole_of.get(a.signature()):
                broken += 1
                m.record.say("BROKEN: MIXED, a success with a body that isn't the endpoint's")
    m.record.say("%d requests, %d successes, %d of them with wrong bytes"
                 % (REQUESTS, successes, broken))
    print("%d of %d requests got a success with bytes that aren't theirs" % (broken, REQUESTS))
    if not TROUBLE and successes == 0:
        return 2
    return 1 if broken else 0


main(body)
