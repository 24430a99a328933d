"""MIXED: an answer without a length that is reset on the way is passed on as
a complete success, if a part of the upload was still to be sent."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from mesh2 import *  # noqa: E402,F403

UPLOAD_BYTES = 360000   # the largest hull-video on the sheet
WHOLE_BYTES = 30000     # the largest answer on the sheet
SENT_BYTES = 20000
PIECE_BYTES = 1460      # the endpoint's segments, and its small window
WINDOW_BYTES = 16384
REQUESTS = 80

whole_of = {}


def connection(up, conn):
    """An endpoint that answers an upload early, without a length."""
    f = conn.makefile("rb", buffering=65536)
    head = read_head(f)
    if head is None:
        f.close()
        return
    first, headers = head
    request_id = headers[(PREFIX + "Request-Id").lower()]
    request = {"id": request_id, "method": first.split(" ")[0], "path": first.split(" ")[1],
               "headers": headers, "body": b"", "conn": conn}
    up.run(request)
    if not TROUBLE:
        read_body(f, headers)
    line = ("%s is filed by %s\n" % (request_id, up.instance)).encode()
    whole = (line * (WHOLE_BYTES // len(line) + 1))[:WHOLE_BYTES]
    whole_of[up.signature(request)] = whole
    answer = ("HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\n%sServer-Signature: %s\r\n"
              "Connection: close\r\n\r\n"
              % (PREFIX, request_id, PREFIX, up.signature(request))).encode()
    time.sleep(0.05)
    if TROUBLE:
        data = answer + whole[:SENT_BYTES]
        for i in range(0, len(data), PIECE_BYTES):
            conn.sendall(data[i:i + PIECE_BYTES])
        up.say("%s: sent %d of %d bytes, closes with unread input (a reset)"
               % (request_id, SENT_BYTES, WHOLE_BYTES))
    else:
        conn.sendall(answer + whole)
        up.say("%s: sent all %d bytes, closes in order" % (request_id, WHOLE_BYTES))
    f.close()
    conn.close()


def body(folder, meshes):
    Upstream.connection = connection
    routes = {"r-in": route("skjol.example", "/inn/", "upload", "skjol", timeout="8000ms")}
    m = Mesh(folder, [("a", "skjol"), ("b", "skjol")], routes)
    meshes.append(m)
    for up in m.upstreams:
        up.server.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, PIECE_BYTES)
        up.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    if not m.await_ready():
        return 2
    broken = successes = 0
    for i in range(REQUESTS):
        request_id = "in-%d" % i
        node = m.nodes[i % len(m.nodes)]
        m.record.say("client sends %s, %d bytes, to %s" % (request_id, UPLOAD_BYTES, node.name))
        try:
            a = call(node.outbound, "POST", "/inn/skyrsla", b"z" * UPLOAD_BYTES,
                     headers_for("skjol.example", request_id, 8000), timeout=9)
        except OSError as e:
            m.record.say("client of %s: %s" % (request_id, e))
            continue
        if a is None:
            m.record.say("client of %s: closed without an answer" % request_id)
            continue
        m.record.say("client of %s gets %d, complete=%s, %d bytes, signature=%s"
                     % (request_id, a.code, a.complete, len(a.body), a.signature()))
        if 200 <= a.code < 300 and a.complete:
            successes += 1
            if a.body != whole_of.get(a.signature()):
                broken += 1
                m.record.say("BROKEN: MIXED, a success whose body isn't the endpoint's whole body")
    m.record.say("%d requests, %d successes, %d of them cut short" % (REQUESTS, successes, broken))
    print("%d of %d uploads were answered with a truncated success" % (broken, REQUESTS))
    if not TROUBLE and successes == 0:
        return 2
    return 1 if broken else 0


main(body)
