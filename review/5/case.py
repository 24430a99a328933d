"""LOST: during a graceful stop the node closes a connection behind an answer
while its caller's next request is still on its way; the reset that follows
destroys the rest of the answer."""
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from mesh2 import *  # noqa: E402,F403

CALLERS = 150
SPREAD_S = 1.5
ONE_WAY_S = 0.003       # "3 ms to clients"
FLIGHT_BYTES = 14600    # what a new connection sends in a round trip
ANSWER_BYTES = 30000    # the largest answer of a lookup on the sheet
WORK_S = 0.12
answered = {}


class Link:
    """The way between a caller and the node: a delay, and a small window."""

    def __init__(self, to):
        self.to = to
        self.server = serve("127.0.0.1", 0, self.connection)
        self.address = self.server.getsockname()

    def connection(self, near):
        far = socket.socket()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        ip, port = self.to.rsplit(":", 1)
        far.connect((ip, int(port)))
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def forth():
            while True:
                try:
                    data = near.recv(65536)
                    if not data:
                        break
                    time.sleep(ONE_WAY_S)
                    far.sendall(data)
                except OSError:
                    break

        threading.Thread(target=forth, daemon=True).start()
        try:
            flight = 0
            while True:
                data = far.recv(FLIGHT_BYTES - flight)
                if not data:
                    break
                time.sleep(ONE_WAY_S)
                near.sendall(data)
                flight += len(data)
                if flight >= FLIGHT_BYTES:
                    time.sleep(ONE_WAY_S)  # the way back of what confirms it
                    flight = 0
        except OSError:
            pass
        for s in (far, near):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        far.close()


def on_request(up, conn, request):
    up.run(request)
    time.sleep(WORK_S * random.uniform(0.9, 1.1))
    line = ("%s of %s\n" % (request["id"], up.instance)).encode()
    body = (line * (ANSWER_BYTES // len(line) + 1))[:ANSWER_BYTES]
    conn.sendall(up.success(request, body))
    answered[request["id"]] = time.monotonic()


def body(folder, meshes):
    random.seed(7)
    routes = {"r-b": route("bokun.example", "/b/", "unsafe", "bokun"),
              "r-l": route("leit.example", "/l/", "safe", "leit")}
    m = Mesh(folder, [("a", "bokun"), ("b", "bokun"), ("a", "leit"), ("b", "leit")], routes,
             on_request=on_request, slots=18)
    meshes.append(m)
    if not m.await_ready():
        return 2
    node = m.nodes[2]
    link = Link(node.outbound)
    lost, complete = [], []

    def caller(i):
        """A request (a lookup or, every third, a booking), and a lookup that is sent
        ahead, unless the node's answer has begun to arrive."""
        books = i % 3 == 0
        method, path, host = ("POST", "/b/x", "bokun.example") if books else (
            "GET", "/l/x", "leit.example")
        first, lookup = ("book-%d" if books else "look-%d") % i, "ahead-%d" % i
        time.sleep(random.uniform(0, SPREAD_S))
        s = socket.create_connection(link.address, timeout=4)
        state = {"data": b"", "end": None}

        def reader():
            try:
                while True:
                    data = s.recv(65536)
                    if not data:
                        state["end"] = "closed"
                        return
                    state["data"] += data
            except OSError as e:
                state["end"] = str(e)

        t = threading.Thread(target=reader, daemon=True)
        t.start()
        m.record.say("client sends %s to %s" % (first, node.name))
        s.sendall(("\r\n".join(["%s %s HTTP/1.1" % (method, path)] + headers_for(host, first)
                               + (["Content-Length: 0"] if books else []))
                   + "\r\n\r\n").encode())
        time.sleep(WORK_S * random.uniform(0.8, 1.2))
        if not state["data"] and state["end"] is None:
            m.record.say("client sends %s behind %s" % (lookup, first))
            s.sendall(("\r\n".join(["GET /l/x HTTP/1.1"] + headers_for("leit.example", lookup))
                       + "\r\n\r\n").encode())
        t.join(3)
        head, _, rest = state["data"].partition(b"\r\n\r\n")
        whole = head.startswith(b"HTTP/1.1 200") and len(rest) >= ANSWER_BYTES
        m.record.say("client of %s: %s, %d bytes of its body, close=%s, then %s" % (
            first, head.split(b"\r\n")[0].decode("latin-1") or "no answer", len(rest),
            b"Connection: close" in head, state["end"]))
        refused = head.startswith(b"HTTP/1.1 503")
        if whole:
            complete.append(first)
        elif first in answered and not refused:
            lost.append(first)
            m.record.say("BROKEN: LOST, %s was passed on and answered by its endpoint, and its "
                         "connection ended without a complete answer" % first)
        s.close()

    time.sleep(3.2)
    threads = [threading.Thread(target=caller, args=(i,)) for i in range(CALLERS)]
    for t in threads:
        t.start()
    time.sleep(0.05)
    if TROUBLE:
        node.kill(signal.SIGTERM, wait=False)
    for t in threads:
        t.join()
    bookings = sum(x.startswith("book") for x in lost)
    m.record.say("%d first requests, %d answered in full, %d lost, %d of these bookings"
                 % (CALLERS, len(complete), len(lost), bookings))
    print("%d of %d requests lost their answer during a graceful stop, %d bookings among them"
          % (len(lost), CALLERS, bookings))
    if not complete:
        return 2
    return 1 if lost else 0


main(body)
