"""Stand-ins for the cases 4 to 8: the platform's store, upstreams and callers.

Standard library only.  The nodes are the project's own program, started with
the command of deploy/system.toml and settings made from its template.
"""
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "Bramleydrift-"
START = time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - START, text))
            self.file.flush()


# The platform's store ------------------------------------------------------

class Store:
    """Rows and their feed, as PROTOCOL.md describes them."""

    def __init__(self, ip):
        self.rows = {}
        self.ver = 1
        self.changes = []
        self.cond = threading.Condition()
        self.down = False
        self.calls = []
        self.server = serve(ip, 0, self.connection)
        self.address = "%s:%d" % self.server.getsockname()

    def put(self, table, key, value, part=""):
        with self.cond:
            self.ver += 1
            self.rows[(table, part, key)] = (value, self.ver)
            self.changes.append((self.ver, table, part, key))
            self.cond.notify_all()

    def value(self, table, key, part=""):
        with self.cond:
            row = self.rows.get((table, part, key))
            return row[0] if row else None

    def row(self, k):
        value, ver = self.rows[k]
        return {"table": k[0], "part": k[1], "key": k[2],
                "value": base64.b64encode(value).decode(), "ver": ver}

    def envelope(self, **more):
        out = {"ver": self.ver, "now": "%dms" % (time.monotonic() * 1000)}
        out.update(more)
        return out

    def transact(self, body):
        with self.cond:
            bad = False
            seen = []
            for e in body.get("expectedRev", []):
                k = (e["table"], e.get("part", ""), e["key"])
                have = self.rows[k][1] if k in self.rows else 0
                bad |= have != e.get("ver", 0)
                if k in self.rows:
                    seen.append(self.row(k))
            if bad:
                return 412, self.envelope(rows=seen)
            self.ver += 1
            for e in body.get("puts", []):
                k = (e["table"], e.get("part", ""), e["key"])
                if k[0] in ("op", "servers"):
                    return 403, {}
                self.rows[k] = (base64.b64decode(e.get("value", "")), self.ver)
                self.changes.append((self.ver,) + k)
            for e in body.get("remove", []):
                k = (e["table"], e.get("part", ""), e["key"])
                if self.rows.pop(k, None) is not None:
                    self.changes.append((self.ver,) + k)
            self.cond.notify_all()
            return 200, self.envelope()

    def get(self, q):
        with self.cond:
            keys = sorted(k for k in self.rows
                          if k[0] == q.get("table") and k[1] == q.get("part", "")
                          and k[2] >= q.get("from", "")
                          and ("to" not in q or k[2] < q["to"]))
            limit = min(int(q.get("limit", 500)), 500)
            return 200, self.envelope(rows=[self.row(k) for k in keys[:limit]],
                                      morePages=len(keys) > limit)

    def feed(self, q):
        after = int(q.get("after", 0))
        until = time.monotonic() + int(q.get("waitMs", 0)) / 1000
        with self.cond:
            while True:
                keys = []
                for ver, t, p, k in self.changes:
                    if t == q.get("table") and ver > after and (t, p, k) not in keys:
                        keys.append((t, p, k))
                left = until - time.monotonic()
                if keys or left <= 0:
                    break
                self.cond.wait(left)
            rows = [self.row(k) if k in self.rows else
                    {"table": k[0], "part": k[1], "key": k[2], "deleted": True,
                     "ver": self.ver} for k in keys]
            return 200, self.envelope(rows=rows)

    def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        q = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/-/rows-get":
            return self.get(q)
        if url.path == "/-/rows-feed":
            return self.feed(q)
        if url.path == "/-/rows-parts":
            with self.cond:
                return 200, self.envelope(parts=sorted(
                    {k[1] for k in self.rows if k[0] == q.get("table")}))
        return 404, {}

    def connection(self, conn):
        f = conn.makefile("rb")
        while True:
            head = read_head(f)
            if head is None:
                return
            first, headers = head
            body = f.read(int(headers.get("content-length", 0)))
            method, target, _ = first.split(" ", 2)
            self.calls.append((time.monotonic(), method, target))
            if self.down:
                code, out = 503, {}
            else:
                code, out = self.answer(method, target, body)
            data = json.dumps(out).encode()
            conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (code, len(data)) + data)


# Sockets -------------------------------------------------------------------

def serve(ip, port, handler):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((ip, port))
    s.listen(512)

    def guarded(conn):
        try:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handler(conn)
        except OSError:
            pass
        finally:
            conn.close()

    def loop():
        while True:
            try:
                conn, _ = s.accept()
            except OSError:
                return
            threading.Thread(target=guarded, args=(conn,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()
    return s


def read_head(f):
    """First line and headers (lower-case names) of a message; None at the end."""
    first = f.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = f.readline()
        if not line.endswith(b"\n"):
            return None
        line = line.strip()
        if not line:
            return first.decode("latin-1").strip(), headers
        name, _, value = line.partition(b":")
        headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()


def read_chunks(f):
    out = b""
    while True:
        line = f.readline()
        if not line.endswith(b"\n"):
            return None
        n = int(line.split(b";")[0], 16)
        piece = f.read(n)
        f.readline()
        if n == 0:
            return out
        if len(piece) < n:
            return None
        out += piece


def read_body(f, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return read_chunks(f)
    n = int(headers.get("content-length", 0))
    body = f.read(n)
    return body if len(body) == n else None


def free_range(ips, n):
    """First of n ports that are free on all addresses."""
    for base in range(20000 + (os.getpid() * 16) % 8000, 32000, 16):
        try:
            for ip in ips:
                for port in range(base, base + n):
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((ip, port))
            return base
        except OSError:
            continue
    raise OSError("no free ports")


# Upstreams -----------------------------------------------------------------

class Upstream:
    """An endpoint.  on_request(up, conn, request) answers; the default is sound."""

    count = 0

    def __init__(self, mesh, ip, service, zone, slots=12, on_request=None, born=None,
                 instance=None, port=0):
        Upstream.count += 1
        self.mesh, self.ip, self.service, self.zone = mesh, ip, service, zone
        self.slots = slots
        self.on_request = on_request or Upstream.sound
        self.instance = instance or "i-%08x" % (os.getpid() * 1000 + Upstream.count)
        self.born = born or int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.beating = True
        self.lock = threading.Lock()
        self.runs = []
        self.conns = set()
        self.server = serve(ip, port, self.connection)
        self.port = self.server.getsockname()[1]
        self.node = None
        threading.Thread(target=self.beats, daemon=True).start()

    def say(self, text):
        self.mesh.record.say("upstream %s %s: %s" % (self.ip, self.service, text))

    def beat(self, **changes):
        self.seq += 1
        body = {"address": "%s:%d" % (self.ip, self.port), "born": self.born,
                "info": {"service": self.service, "version": getattr(self, "version", "v1"),
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "coldLeft": "0ms"}}
        body.update(changes)
        return call(self.node.control, "POST",
                    "/-/instances/%s/heartbeat" % self.instance,
                    json.dumps(body).encode(), timeout=1.0)

    def beats(self):
        while True:
            if self.beating and self.node is not None:
                try:
                    self.beat()
                except OSError:
                    pass
            time.sleep(0.4)

    def deregister(self):
        return call(self.node.control, "POST",
                    "/-/instances/%s/deregister" % self.instance,
                    json.dumps({"born": self.born}).encode(), timeout=1.0)

    def run(self, request):
        with self.lock:
            self.runs.append(request)
        self.say("runs %s %s %s caller=%s deadline=%s body=%d" % (
            request["id"], request["method"], request["path"],
            request["headers"].get((PREFIX + "Caller-Service").lower()),
            request["headers"].get((PREFIX + "Deadline-Ms").lower()),
            len(request["body"])))

    def signature(self, request):
        return "sig.%s.%s" % (self.instance, request["id"])

    def success(self, request, body, more=()):
        head = ["HTTP/1.1 200 OK", PREFIX + "Request-Id: " + request["id"],
                PREFIX + "Server-Signature: " + self.signature(request)]
        head += list(more) + ["Content-Length: %d" % len(body)]
        return ("\r\n".join(head) + "\r\n\r\n").encode() + body

    def body_for(self, request):
        return ("answer of %s to %s\n" % (self.instance, request["id"])).encode()

    def sound(self, conn, request):
        self.run(request)
        time.sleep(0.02)
        conn.sendall(self.success(request, self.body_for(request)))

    def exit(self):
        """The process ends: its listening socket and connections are closed."""
        self.beating = False
        self.say("exits")
        for s in [self.server] + list(self.conns):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            s.close()

    def connection(self, conn):
        self.conns.add(conn)
        f = conn.makefile("rb")
        while True:
            head = read_head(f)
            if head is None:
                return
            first, headers = head
            method, path, _ = first.split(" ", 2)
            if path == "/health":
                conn.sendall(("HTTP/1.1 200 OK\r\n%sInstance-Id: %s\r\n"
                              "Content-Length: 0\r\n\r\n" % (PREFIX, self.instance)).encode())
                continue
            target = headers.get((PREFIX + "Target-Instance").lower(), self.instance)
            body = read_body(f, headers)
            request = {"id": headers.get((PREFIX + "Request-Id").lower(), ""),
                       "method": method, "path": path, "headers": headers,
                       "body": body or b"", "at": time.monotonic(), "conn": conn}
            if body is None:
                self.say("request %s broke off" % request["id"])
                return
            if target != self.instance:
                conn.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                             b"Content-Length: 0\r\n\r\n")
                continue
            if self.on_request(self, conn, request) is False:
                return


# Callers -------------------------------------------------------------------

class Answer:
    def __init__(self, code, headers, body, complete):
        self.code, self.headers, self.body, self.complete = code, headers, body, complete

    def signature(self):
        return self.headers.get((PREFIX + "Server-Signature").lower())


def read_answer(f, head_only=False):
    while True:
        head = read_head(f)
        if head is None:
            return None
        first, headers = head
        code = int(first.split(" ")[1])
        if code >= 200:
            break
    if head_only or code in (204, 304):
        return Answer(code, headers, b"", True)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = read_chunks(f)
        return Answer(code, headers, body or b"", body is not None)
    if "content-length" in headers:
        n = int(headers["content-length"])
        body = f.read(n)
        return Answer(code, headers, body, len(body) == n)
    return Answer(code, headers, f.read(), True)


def call(address, method, path, body=b"", headers=(), timeout=5.0):
    ip, port = address.rsplit(":", 1)
    with socket.create_connection((ip, int(port)), timeout=timeout) as s:
        lines = ["%s %s HTTP/1.1" % (method, path)] + list(headers)
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        s.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            return read_answer(s.makefile("rb"))
        except (OSError, ValueError):
            return None


# Nodes ---------------------------------------------------------------------

def fill(template, fields):
    """The part of the platform's template language that the template uses."""

    def look(path):
        v = fields
        for part in path.split("."):
            if isinstance(v, list):
                v = v[int(part)] if int(part) < len(v) else None
            else:
                v = v.get(part) if isinstance(v, dict) else None
            if v is None:
                return None
        return v

    def section(m):
        v = look(m.group(1))
        return m.group(2) if v not in (None, False) else ""

    def value(m):
        v = look(m.group(1))
        if m.group(2):
            return json.dumps(v)
        return "" if v is None else str(v)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Node:
    def __init__(self, mesh, name, ip, zone, service, upstream):
        self.mesh, self.name, self.ip, self.zone = mesh, name, ip, zone
        self.upstream = upstream
        base = mesh.base_port
        self.outbound = "%s:%d" % (ip, base)
        self.ready_at = "%s:%d" % (ip, base + 1)
        self.control = "%s:%d" % (ip, base + 2)
        fields = {
            "node": name, "role": "node", "machineClass": "sidecar",
            "serves": ["sidecar"], "ip": ip, "zone": zone, "region": mesh.region,
            "portRange": [base + 4, base + 5], "service": service,
            "appAddr": "%s:%d" % (ip, upstream.port if upstream else base + 9),
            "listen": {"inbound": "%s:%d" % (ip, base + 3), "outbound": self.outbound,
                       "ready": self.ready_at, "control": self.control},
            "limits": {"linkMbps": 1000.0, "maxFds": 4100},
            "zones": {z: mesh.region for z in mesh.zones},
            "platform": {"address": mesh.store.address},
            "bounds": {"retryBudgetRatio": 0.2, "budgetExtra": 60, "config": "2000ms",
                       "grace": "6s"},
        }
        fields.update(mesh.more_fields)
        with open(os.path.join(ROOT, "platform/settings.json.in")) as f:
            text = fill(f.read(), fields)
        if mesh.edit_settings:
            text = mesh.edit_settings(text)
        self.settings = os.path.join(mesh.folder, name + ".json")
        with open(self.settings, "w") as f:
            f.write(text)
        self.process = None
        self.start()
        if upstream:
            upstream.node = self

    def start(self):
        program, *words = mesh_command()
        words = [self.settings if w == "/etc/bramleydrift/boot.toml" else w for w in words]
        self.log = open(os.path.join(self.mesh.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.environ.get("REVIEW_NODE_PROGRAM", os.path.join(ROOT, program))] + words,
            stdout=self.log, stderr=self.log, cwd=ROOT,
            env=dict({"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "BRAMLEYDRIFT_SETTINGS": self.settings},
                 **{k: v for k, v in os.environ.items() if k.endswith("SAN_OPTIONS")}))
        self.mesh.record.say("node %s starts" % self.name)

    def kill(self, sig=signal.SIGKILL, wait=True):
        self.mesh.record.say("node %s gets signal %d" % (self.name, sig))
        self.process.send_signal(sig)
        if wait and sig in (signal.SIGKILL, signal.SIGTERM):
            self.process.wait()

    def is_ready(self):
        try:
            a = call(self.ready_at, "GET", "/-/ready", timeout=1.0)
        except OSError:
            return False
        return a is not None and a.code == 200


def mesh_command():
    with open(os.path.join(ROOT, "deploy/system.toml")) as f:
        m = re.search(r'^run = "(.*)"$', f.read(), re.M)
    return m.group(1).split(" ")


class Mesh:
    """Nodes with upstreams: [(zone, service)], each on an address of its own."""

    def __init__(self, folder, places, routes, on_request=None, slots=12, limits=None,
                 more_fields=None, edit_settings=None, tenants=None, subnet=None):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="mesh2-")
        self.region = "hofudsvaedi"
        self.zones = sorted({z for z, _ in places})
        self.more_fields = more_fields or {}
        self.edit_settings = edit_settings
        subnet = subnet or 10 + os.getpid() % 200
        self.ips = ["127.%d.0.%d" % (subnet, i + 1) for i in range(len(places) + 1)]
        self.base_port = free_range(self.ips, 10)
        self.limits = limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                                 "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
        self.tenants = tenants
        self.version = 0
        self.store = Store(self.ips[-1])
        self.configure(routes)
        self.upstreams, self.nodes = [], []
        for i, (zone, service) in enumerate(places):
            up = Upstream(self, self.ips[i], service, zone, slots, on_request)
            self.upstreams.append(up)
            self.nodes.append(Node(self, "sidecar-%s-%d" % (zone, i + 1), self.ips[i],
                                   zone, service, up))

    def configure(self, routes, step=3):
        self.version += step
        services = set()
        for r in routes.values():
            if "service" in r:
                services.add(r["service"])
            for s in r.get("weightedServices", []):
                services.add(s["service"])
        config = {"version": "r%d" % self.version, "routes": routes,
                  "services": {s: {"healthPath": "/health", "maxConnections": 120,
                                   "protocol": "h1", "tls": False} for s in sorted(services)},
                  "limits": self.limits}
        if self.tenants is not None:
            config["tenants"] = self.tenants
        self.record.say("operator writes r%d" % self.version)
        self.store.put("op", "config", json.dumps(config).encode())

    def await_ready(self, routes=(), timeout=25.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all(n.is_ready() for n in self.nodes):
                self.record.say("all nodes are ready")
                return True
            time.sleep(0.2)
        self.record.say("nodes are not ready")
        return False

    def close(self):
        for n in self.nodes:
            if n.process and n.process.poll() is None:
                n.process.send_signal(signal.SIGCONT)
                n.process.kill()
                n.process.wait()
        if "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") as f:
            return f.read()


def route(host, prefix, kind, service, timeout="2500ms", attempts=2, aim="400ms", priority=1):
    return {"host": host, "prefix": prefix, "kind": kind, "timeout": timeout,
            "targetLatency": aim, "priority": priority, "service": service,
            "maxAttempts": attempts}


def headers_for(host, request_id, deadline_ms=2500, more=()):
    return ["Host: " + host, "%sRequest-Id: %s" % (PREFIX, request_id),
            "%sDeadline-Ms: %d" % (PREFIX, deadline_ms)] + list(more)


def main(body):
    """Runs body(folder), which returns 0, 1 or 2, within 110 s."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    def late(_signum, _frame):
        raise TimeoutError("the case took too long")

    signal.signal(signal.SIGALRM, late)
    signal.alarm(int(os.environ.get("REVIEW_LIMIT_S", "110")))
    meshes = []
    try:
        result = body(folder, meshes)
    except Exception as e:  # the case could not run
        import traceback
        traceback.print_exc()
        print("could not run: %s" % e)
        result = 2
    finally:
        for m in meshes:
            m.close()
    sys.stdout.flush()
    os._exit(result)
