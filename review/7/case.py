"""DRAIN: a node that was killed and started again forgets that its endpoint
has left, and a late heartbeat brings the endpoint back."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from mesh2 import *  # noqa: E402,F403

DRAIN_S = 2.0
STABLE_S = 3.0
LATE_S = 3.4
WORK_S = 0.4
BURST = 10

leaving = {}


def on_request(up, conn, request):
    up.run(request)
    left = leaving.get(up)
    time.sleep(WORK_S)
    more = ["Server-Leaving: 1"] if left else []
    try:
        conn.sendall(up.success(request, up.body_for(request), more))
    except OSError:
        up.say("%s: its connection is gone" % request["id"])


def body(folder, meshes):
    routes = {"r-b": route("bokun.example", "/b/", "unsafe", "bokun"),
              "r-l": route("leit.example", "/l/", "safe", "leit")}
    m = Mesh(folder, [("a", "bokun"), ("a", "leit"), ("b", "bokun")], routes,
             on_request=on_request)
    meshes.append(m)
    if not m.await_ready():
        return 2
    host, client_host = m.nodes[0], m.nodes[1]
    up = m.upstreams[0]

    def booking(n):
        request_id = "b-%d" % n
        sent = time.monotonic()
        m.record.say("client sends %s to %s" % (request_id, client_host.name))
        try:
            a = call(client_host.outbound, "POST", "/b/x", b"", headers_for(
                "bokun.example", request_id), timeout=4)
        except OSError:
            a = None
        m.record.say("client of %s gets %s after %.3f s" % (
            request_id, a.code if a else "no answer", time.monotonic() - sent))
        results.append((request_id, a.code if a else None))

    def burst(first, ends=False):
        threads = [threading.Thread(target=booking, args=(first + i,)) for i in range(BURST)]
        for t in threads:
            t.start()
        if ends:
            time.sleep(WORK_S / 2)
            up.exit()
        for t in threads:
            t.join()

    results = []
    time.sleep(STABLE_S)
    burst(0)
    if not any(code == 200 for _, code in results) or not up.runs:
        return 2

    # One heartbeat is under way for LATE_S; then the endpoint leaves.
    up.beating = False
    time.sleep(0.5)
    up.seq += 1
    late = json.dumps({"address": "%s:%d" % (up.ip, up.port), "born": up.born,
                       "info": {"service": up.service, "version": "v1", "zone": up.zone,
                                "slots": up.slots},
                       "status": {"state": "ready", "seq": up.seq, "coldLeft": "0ms"}}).encode()
    up.seq += 1
    beat_sent = time.monotonic()
    answer = up.deregister()
    acknowledged = time.monotonic()
    leaving[up] = True
    up.say("deregisters: %s" % (answer.code if answer else "no answer"))
    if answer is None or answer.code // 100 != 2:
        return 2
    if TROUBLE:
        time.sleep(0.1)
        host.kill()
        host.start()
        started = time.monotonic()
    else:
        started = acknowledged
    while not host.is_ready() and time.monotonic() < started + 3:
        time.sleep(0.05)
    time.sleep(max(0, beat_sent + LATE_S - time.monotonic()))
    a = call(host.control, "POST", "/-/instances/%s/heartbeat" % up.instance, late, timeout=2)
    up.say("the late heartbeat arrives, %.1f s after it was sent: %s" % (
        time.monotonic() - beat_sent, a.code if a else "no answer"))
    time.sleep(max(0.4, started + STABLE_S + 0.4 - time.monotonic()))
    burst(100, ends=True)
    lost = [i for i, code in results[BURST:] if code is None or code >= 500 and code != 503]
    after = [r for r in up.runs if r["at"] > acknowledged + DRAIN_S]
    for r in after:
        m.record.say("BROKEN: DRAIN, %s reached %s %.1f s after its leaving was acknowledged"
                     % (r["id"], up.instance, r["at"] - acknowledged))
    m.record.say("%d bookings reached it, %d were lost when it exited" % (len(after), len(lost)))
    print("%d of %d bookings reached an endpoint that had left, %d bookings were lost"
          % (len(after), BURST, len(lost)))
    return 1 if after else 0


main(body)
