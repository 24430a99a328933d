#!/usr/bin/env python3
"""Demonstration of the main use case with separate processes on loopback.

Starts the registry's three data centres (ten hosts, each with a node and a
stand-in upstream) and a stand-in platform, signs a bundle off, sends calls
through a node of another data centre, supersedes the version during calls,
stops all processes gracefully and prints the measurements.  Processes that are
still running at the end are killed.
"""

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
CONVERGENCE_TIMEOUT_MS = 20000
RATE = 300
DURATION_S = 5

# Data centre and service of each of the registry's endpoints.
HOSTS = [
    ("grandahus", "public-search"),
    ("hofdasalur", "public-search"),
    ("vallasalur", "public-search"),
    ("grandahus", "public-search"),
    ("grandahus", "hearing-booking"),
    ("hofdasalur", "hearing-booking"),
    ("vallasalur", "hearing-booking"),
    ("grandahus", "document-store"),
    ("hofdasalur", "document-store"),
    ("vallasalur", "document-store"),
]
SLOTS = 12


class DemoError(Exception):
    """The demonstration failed; the message gives the reason."""


def free_port(address):
    with socket.socket() as s:
        s.bind((address, 0))
        return s.getsockname()[1]


def http_get(url, timeout_s=2):
    with urllib.request.urlopen(url, timeout=timeout_s) as r:
        return r.read().decode()


def metric(text, name):
    for line in text.splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


class Processes:
    """All processes of the demonstration, so that none is left running."""

    def __init__(self, directory):
        self.directory = directory
        self.running = []

    def start(self, name, *command):
        log = open(os.path.join(self.directory, name + ".log"), "wb")
        p = subprocess.Popen(command, stdout=log, stderr=log)
        self.running.append((name, p))
        return p

    def stop(self, name):
        """Stop a process with SIGTERM; returns its exit code."""
        for entry in self.running:
            if entry[0] == name:
                entry[1].send_signal(signal.SIGTERM)
                code = entry[1].wait(STOP_TIMEOUT_S)
                self.running.remove(entry)
                return code
        raise DemoError(f"{name} is not running")

    def kill_all(self):
        for _, p in self.running:
            p.kill()
            p.wait()


class Host:
    """A host with its own address, a node and an upstream."""

    def __init__(self, index, data_centre, service):
        self.name = f"host-{index + 1}"
        self.data_centre = data_centre
        self.service = service
        self.address = f"127.0.1.{index + 1}"
        ports = ("caller_port", "peer_port", "call_port", "admin_port")
        self.ports = {p: free_port(self.address) for p in ports}
        self.upstream_port = free_port(self.address)

    def address_of(self, port):
        return f"{self.address}:{self.ports[port]}"

    def settings(self, platform, seeds):
        return {
            "host": self.name,
            "data_centre": self.data_centre,
            "region": "hofudsvaedi",
            "address": self.address,
            "seeds": seeds,
            "table_url": platform,
            "object_url": platform,
            "profile": "registry",
            **self.ports,
        }


class Demo:
    def __init__(self, build, directory):
        self.directory = directory
        self.processes = Processes(directory)
        self.hosts = [Host(i, *h) for i, h in enumerate(HOSTS)]
        self.node = f"{build}/packages/node/bramleydrift"
        self.ctl = f"{build}/packages/ctl/bramleyctl"
        self.standins = f"{build}/packages/standins"
        self.platform = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.summary = []

    def log(self, text):
        print(text, flush=True)

    def bramleyctl(self, *args, timeout_s=60):
        command = [self.ctl, "--node", self.hosts[0].address_of("admin_port"),
                   "--json", *args]
        r = subprocess.run(command, capture_output=True, text=True,
                           timeout=timeout_s, check=False)
        if r.returncode != 0:
            raise DemoError(f"bramleyctl {' '.join(args)} ended with "
                            f"{r.returncode}: {r.stdout}{r.stderr}")
        lines = [line for line in r.stdout.splitlines() if line.strip()]
        try:
            return json.loads(r.stdout)
        except ValueError:
            return json.loads(lines[-1])

    def wait_for(self, what, check):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise DemoError(f"{what} was not ready within {START_TIMEOUT_S} s")

    def start_platform(self):
        address, port = self.platform.split(":")
        self.processes.start(
            "platform", f"{self.standins}/standin_platform", "--address",
            address, "--port", port)
        self.wait_for("the platform", lambda: http_get(
            f"http://{self.platform}/standin/stats"))

    def start_nodes(self):
        seeds = [h.address_of("peer_port") for h in self.hosts[:3]]
        for h in self.hosts:
            path = os.path.join(self.directory, h.name + ".json")
            with open(path, "w", encoding="utf-8") as f:
                json.dump(h.settings("http://" + self.platform, seeds), f)
            self.processes.start(h.name, self.node, "--settings", path)
        for h in self.hosts:
            self.wait_for(h.name, lambda h=h: json.loads(http_get(
                f"http://{h.address_of('admin_port')}/v1/status")
            )["members_live"] == len(self.hosts))

    def start_upstreams(self):
        for h in self.hosts:
            self.processes.start(
                "upstream-" + h.name, f"{self.standins}/standin_upstream",
                "--address", h.address, "--port", str(h.upstream_port),
                "--host", h.name, "--service", h.service, "--slots",
                str(SLOTS), "--node", h.address_of("admin_port"))
        self.wait_for("the endpoints", lambda: all(json.loads(http_get(
            f"http://{h.address_of('admin_port')}/v1/status")
        )["endpoints"] == len(self.hosts) for h in self.hosts))

    def metrics(self, host):
        return http_get(f"http://{host.address_of('admin_port')}/metrics")

    def sign_off(self, bundle, note):
        """Sign a bundle off and wait until all nodes have applied it.

        Returns the version and the convergence time in milliseconds.
        """
        signed = self.bramleyctl(
            "sign-off", bundle, "--operator", "demo", "--note", note)
        version = signed["version"]
        self.bramleyctl("watch", str(version), "--timeout-ms",
                        str(CONVERGENCE_TIMEOUT_MS))
        details = json.loads(http_get(
            f"http://{self.hosts[0].address_of('admin_port')}"
            f"/v1/versions/{version}"))
        texts = [self.metrics(h) for h in self.hosts]
        stale = [h.name for h, t in zip(self.hosts, texts)
                 if metric(t, "bramley_version") < version]
        if stale:
            raise DemoError(f"watch saw version {version} everywhere, but "
                            f"{stale} hold an older one")
        applied = [metric(t, "bramley_version_applied_wall_ms")
                   for t in texts]
        return version, max(applied) - details["record"]["wall_ms"]

    def load(self, *args):
        command = [f"{self.standins}/load_gen", "--json", *args]
        r = subprocess.run(command, capture_output=True, text=True,
                           timeout=120, check=False)
        if r.returncode != 0:
            raise DemoError(f"load_gen ended with {r.returncode}: {r.stderr}")
        return json.loads(r.stdout)

    def run(self):
        self.log("Starting a platform, ten nodes and ten upstreams.")
        self.start_platform()
        self.start_nodes()
        self.start_upstreams()
        version, ms = self.sign_off("examples/registry.json", "first")
        self.summary.append(f"convergence of version {version}: {ms:.0f} ms "
                            f"from sign-off until the last of "
                            f"{len(self.hosts)} nodes applied it")
        for h in self.hosts:
            self.wait_for(h.name, lambda h=h: http_get(
                f"http://{h.address_of('admin_port')}/v1/health"))
        self.measure_calls()
        self.supersede_under_load()
        self.measure_control_traffic()
        self.stop_all()
        self.log("\nSummary")
        for line in self.summary:
            self.log("  " + line)

    def measure_calls(self):
        """Measure lookups, bookings and uploads through another data centre."""
        # The caller uses the node of a document store in vallasalur.
        entry = self.hosts[9].address_of("caller_port")
        upstream = self.hosts[0]
        self.log(f"Calls through {self.hosts[9].name} in vallasalur.")
        direct = self.load(
            "--direct", "--node", f"{upstream.address}:"
            f"{upstream.upstream_port}", "--rate", str(RATE),
            "--duration-s", str(DURATION_S), "--mix", "1:0:0")
        mesh = self.load(
            "--node", entry, "--rate", str(RATE), "--duration-s",
            str(DURATION_S), "--mix", "1:0:0")
        mixed = self.load(
            "--node", entry, "--rate", str(RATE), "--duration-s",
            str(DURATION_S), "--mix", "8:1:1")
        self.check_calls("mixed calls", mixed)
        for q in ("p50", "p99"):
            d, m = direct[f"{q}_us"], mesh[f"{q}_us"]
            self.summary.append(
                f"lookup {q} at {RATE}/s: direct {d} us, through the mesh "
                f"{m} us, added {m - d} us")

    def check_calls(self, what, r):
        self.summary.append(
            f"{what}: {r['sent']} sent, {r['done']} done, "
            f"{r['not_run']} not run, {r['unknown']} unknown, "
            f"{r['wrong_answers']} wrong answers")
        if r["done"] != r["sent"] or r["wrong_answers"] != 0:
            raise DemoError(f"{what}: not all calls succeeded: {r}")

    def supersede_under_load(self):
        self.log("Superseding the version during calls.")
        load = subprocess.Popen(
            [f"{self.standins}/load_gen", "--json", "--node",
             self.hosts[9].address_of("caller_port"), "--rate", str(RATE),
             "--duration-s", str(DURATION_S), "--mix", "8:1:1"],
            stdout=subprocess.PIPE, text=True)
        times = []
        for note in ("second", "third", "fourth"):
            time.sleep(0.3)
            _, ms = self.sign_off(self.modified_bundle(note), note)
            times.append(ms)
        out, _ = load.communicate(timeout=60)
        self.check_calls("calls during three new versions", json.loads(out))
        self.summary.append("convergence of superseding versions: " +
                            ", ".join(f"{ms:.0f} ms" for ms in times))

    def modified_bundle(self, note):
        with open("examples/registry.json", encoding="utf-8") as f:
            bundle = json.load(f)
        bundle["services"][0]["timeout_ms"] += len(note)
        path = os.path.join(self.directory, f"bundle-{note}.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(bundle, f)
        return path

    def measure_control_traffic(self):
        names = ("bramley_control_sent_bytes_total",
                 "bramley_control_received_bytes_total")

        def total():
            texts = [self.metrics(h) for h in self.hosts]
            return [sum(metric(t, n) for n in names) for t in texts]

        before = total()
        time.sleep(3)
        after = total()
        rates = [(b - a) / 3 for a, b in zip(before, after)]
        self.summary.append(
            f"control traffic of an idle node: mean "
            f"{sum(rates) / len(rates):.0f} B/s, maximum {max(rates):.0f} B/s "
            f"(sent and received, without IP headers)")

    def stop_all(self):
        self.log("Stopping every upstream and node gracefully.")
        names = ["upstream-" + h.name for h in self.hosts]
        names += [h.name for h in self.hosts]
        codes = {n: self.processes.stop(n) for n in names}
        bad = {n: c for n, c in codes.items() if c != 0}
        if bad:
            raise DemoError(f"exit code other than 0: {bad}")
        self.processes.stop("platform")
        self.summary.append(f"{len(codes)} processes stopped with code 0")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="build directory")
    parser.add_argument("--keep", metavar="DIR",
                        help="directory for the logs, which are then kept")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        directory = args.keep or scratch
        os.makedirs(directory, exist_ok=True)
        demo = Demo(args.build, directory)
        try:
            demo.run()
        except (DemoError, OSError, subprocess.SubprocessError) as e:
            print(f"FAILED: {e}", file=sys.stderr)
            return 1
        finally:
            demo.processes.kill_all()
    return 0


if __name__ == "__main__":
    sys.exit(main())
