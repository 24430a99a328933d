"""A small deployment on loopback: nodes of the project as separate processes,
with stand-ins for the platform's store, the endpoints and the clients.

The layout is that of the Expert Witness Registry (skra-reykjavik): ten sidecar
machines in three zones.  Each machine has a loopback address of its own, so the
ports are the same on all machines.  The nodes are started with the command of
the deploy file and with its settings template, as the platform fills it in.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import closing

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
OUTBOUND, READY, CONTROL, APP, STORE = 8304, 8302, 8306, 8301, 8309
PEER_PORTS = [7620, 7635]
START = time.monotonic()


def now():
    return time.monotonic() - START


# The settings template of the deploy file (DEPLOY.md, "Settings of a process").

def lookup(fields, path):
    value = fields
    for part in path.split('.'):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def fill_in(template, fields):
    def section(m):
        value = lookup(fields, m.group(1))
        if not value:
            return ''
        if not isinstance(value, dict):
            return fill_in(m.group(2), fields)
        keys = list(value)
        return ''.join(m.group(2).replace('{{@}}', k).replace(
            '{{,}}', ',' if k != keys[-1] else '') for k in keys)

    def place(m):
        value = lookup(fields, m.group(1))
        if m.group(2):
            return json.dumps(value)
        return '' if value is None else str(value)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', place, text)


# HTTP/1.1, as far as the stand-ins need it.

async def read_head(reader):
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin1').split('\r\n')
    headers = {}
    for line in text[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return text[0], headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', '0')))
    body = b''
    while True:
        line = await reader.readline()
        if not line:
            raise EOFError
        size = int(line.split(b';')[0], 16)
        if size == 0:
            while await reader.readline() not in (b'\r\n', b''):
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


LOST = (EOFError, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class Store:
    """The platform's metadata store: rows, transactions, the feed."""

    def __init__(self):
        self.rows, self.log, self.ver = {}, [], 1
        self.changed = asyncio.Condition()

    async def start(self, ip):
        self.address = f'{ip}:{STORE}'
        self.server = await asyncio.start_server(self.serve, ip, STORE, limit=1 << 24)

    async def put(self, table, key, value):
        await self.transact([(table, '', key, value)])

    async def transact(self, changes):
        async with self.changed:
            self.ver += 1
            for table, part, key, value in changes:
                if value is None:
                    self.rows.pop((table, part, key), None)
                else:
                    self.rows[table, part, key] = value, self.ver
                self.log.append((self.ver, table, part, key, value))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await asyncio.sleep(0.004)
                code, answer = await self.answer(line.split(' ')[1], body)
                text = json.dumps({**answer, 'ver': self.ver,
                                   'now': f'{int(time.monotonic() * 1000)}ms'}).encode()
                writer.write(f'HTTP/1.1 {code} -\r\nContent-Type: application/json\r\n'
                             f'Content-Length: {len(text)}\r\n\r\n'.encode() + text)
                await writer.drain()
        except LOST:
            pass
        finally:
            writer.close()

    @staticmethod
    def row(key, value, ver):
        row = dict(zip(('table', 'part', 'key'), key), ver=ver)
        if value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': base64.b64encode(value).decode()}

    async def answer(self, target, body):
        path, _, query = target.partition('?')
        q = dict(item.split('=', 1) for item in query.split('&') if '=' in item)
        if path == '/-/rows-get':
            keys = sorted(k for k in self.rows if k[:2] == (q['table'], q.get('part', ''))
                          and k[2] >= q.get('from', '') and k[2] < (q.get('to') or '\U0010ffff'))
            limit = int(q.get('limit', 500))
            return 200, {'rows': [self.row(k, *self.rows[k]) for k in keys[:limit]],
                         'morePages': len(keys) > limit}
        if path == '/-/rows-feed':
            return 200, {'rows': await self.feed(q)}
        if path == '/-/rows-tx':
            return await self.tx(json.loads(body))
        return 404, {}

    async def feed(self, q):
        until = time.monotonic() + int(q.get('waitMs', 0)) / 1000
        while True:
            found = {e[1:4]: e for e in self.log
                     if e[1] == q['table'] and e[0] > int(q['after'])}
            left = until - time.monotonic()
            if found or left <= 0:
                return [self.row(k, e[4], e[0])
                        for k, e in sorted(found.items(), key=lambda item: item[1][0])]
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def tx(self, o):
        key = lambda e: (e['table'], e.get('part', ''), e['key'])
        for e in o.get('expectedRev', []):
            if self.rows.get(key(e), (None, 0))[1] != e['ver']:
                return 412, {'rows': [self.row(key(x), *self.rows[key(x)])
                                      for x in o['expectedRev'] if key(x) in self.rows]}
        await self.transact([(*key(e), base64.b64decode(e['value'])) for e in o.get('puts', [])] +
                            [(*key(e), None) for e in o.get('remove', [])])
        return 200, {}


class Endpoint:
    """An application endpoint: heartbeats, slots, answers with id and signature.

    `before`, if set, may change how one request is read or answered: it gets the
    endpoint, reader, writer, headers and the run's record, and returns None to go on as
    usual, True when it has answered, False to end the connection.  `after` is
    called once an answer is complete.
    """

    def __init__(self, mesh, node, service, slots=12):
        self.mesh, self.node, self.service = mesh, node, service
        self.slots, self.slowness = slots, 1
        self.id = f'i-{random.getrandbits(32):08x}'
        self.born, self.seq, self.state = int(time.time() * 1000), 0, 'ready'
        self.running, self.writers = 0, set()
        self.before = self.after = None
        self.acks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.node.ip, APP, limit=1 << 24)
        self.beating = asyncio.ensure_future(self.beat())
        self.mesh.note('endpoint starts', id=self.id, service=self.service, node=self.node.name)

    def crash(self):
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.mesh.note('endpoint crashes', id=self.id, service=self.service, node=self.node.name)

    def heartbeat(self):
        self.seq += 1
        return {'address': f'{self.node.ip}:{APP}',
                'info': {'service': self.service, 'version': 'v1', 'zone': self.node.zone,
                         'slots': self.slots},
                'status': {'state': self.state, 'seq': self.seq, 'coldLeft': '0ms'},
                'born': self.born}

    async def tell(self, call, body, name=None):
        """A call to the node's control address; returns the status, or None."""
        async def post():
            reader, writer = await asyncio.open_connection(self.node.ip, CONTROL)
            text = json.dumps(body).encode()
            writer.write(f'POST /-/instances/{name or self.id}/{call} HTTP/1.1\r\nHost: node\r\n'
                         f'Content-Type: application/json\r\nContent-Length: {len(text)}\r\n'
                         'Connection: close\r\n\r\n'.encode() + text)
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            writer.close()
            return int(line.split()[1])
        try:
            return await asyncio.wait_for(post(), 1)
        except (*LOST, asyncio.TimeoutError):
            return None

    async def beat(self):
        while True:
            status = await self.tell('heartbeat', self.heartbeat())
            self.acks.append((now(), self.state, status))
            await asyncio.sleep(0.87)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except LOST:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        line, headers = await read_head(reader)
        method, path, _ = line.split(' ', 2)
        name = headers.get('bramleydrift-request-id', '')
        target = headers.get('bramleydrift-target-instance')
        run = dict(t=round(now(), 3), id=name, method=method, path=path, service=self.service,
                   endpoint=self.id, node=self.node.name, target=target,
                   caller=headers.get('bramleydrift-caller-service'))
        echo = f'Bramleydrift-Request-Id: {name}\r\n'
        if target not in (None, self.id):
            await read_body(reader, headers)
            writer.write((f'HTTP/1.1 421 Misdirected Request\r\n{echo}Bramleydrift-Instance-Id: '
                          f'{self.id}\r\nContent-Length: 0\r\n\r\n').encode())
            return True
        if self.before is not None:
            done = await self.before(self, reader, writer, headers, run)
            if done is not None:
                return done
        body = await read_body(reader, headers)
        if self.running >= self.slots:
            writer.write((f'HTTP/1.1 503 Service Unavailable\r\n{echo}Bramleydrift-Not-Executed: 1'
                          '\r\nContent-Length: 0\r\n\r\n').encode())
            return True
        run['bytes'] = len(body)
        self.mesh.runs.append(run)
        self.running += 1
        try:
            await asyncio.sleep(work_s(path) * self.slowness * random.uniform(0.5, 1.5))
        finally:
            self.running -= 1
        text = f'{self.service} {self.id} ran {name} {path}'.encode()
        writer.write(self.head(run, len(text)) + text)
        await writer.drain()
        if self.after is not None:
            self.after(self, writer, run)
        return True

    def head(self, run, length):
        return (f'HTTP/1.1 200 OK\r\nBramleydrift-Request-Id: {run["id"]}\r\n'
                f'Bramleydrift-Server-Signature: {self.id}.{run["id"]}\r\n'
                f'Bramleydrift-Server-Load: {self.running},0,{self.slots}\r\n'
                f'Content-Length: {length}\r\n\r\n').encode()


class Node:
    """A sidecar machine with its node."""

    def __init__(self, mesh, name, zone, ip, service):
        self.mesh, self.name, self.zone, self.ip = mesh, name, zone, ip
        self.service, self.process = service, None

    def fields(self):
        at = lambda port: f'{self.ip}:{port}'
        return {
            'node': self.name, 'zone': self.zone, 'region': 'hofudsvaedi', 'ip': self.ip,
            'service': self.service, 'appAddr': at(APP), 'portRange': PEER_PORTS,
            'listen': {'outbound': at(OUTBOUND), 'ready': at(READY), 'control': at(CONTROL),
                       'inbound': at(8300)},
            'zones': {zone: 'hofudsvaedi' for zone in self.mesh.zones},
            'limits': {'linkMbps': 1000.0, 'maxFds': 4100},
            'platform': {'address': self.mesh.store.address},
            'bounds': {'retryBudgetRatio': '0.2', 'budgetExtra': '60', 'config': '2000ms',
                       'grace': '6s', 'drain': '2000ms'}}

    def write_settings(self):
        self.settings = f'{self.mesh.folder}/{self.name}.json'
        with open(os.path.join(ROOT, self.mesh.role['template'])) as f:
            text = fill_in(f.read(), self.fields())
        with open(self.settings, 'w') as f:
            f.write(text)

    def start(self):
        self.write_settings()
        command = self.mesh.role['run'].replace('/etc/bramleydrift/boot.toml', self.settings)
        # The node ends with this process, however this process ends.
        end_with_parent = lambda: ctypes.CDLL(None).prctl(1, signal.SIGKILL)
        with open(f'{self.mesh.folder}/{self.name}.log', 'a') as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, stdout=log, stderr=log, preexec_fn=end_with_parent,
                env={'PATH': os.environ['PATH'], 'LANG': 'C.UTF-8',
                     'BRAMLEYDRIFT_SETTINGS': self.settings})
        self.mesh.note('node starts', node=self.name, pid=self.process.pid)

    def signal(self, number):
        self.mesh.note('signal', node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def ready(self):
        async def ask():
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n')
            line, _ = await read_head(reader)
            writer.close()
            return ' 200 ' in line
        try:
            return await asyncio.wait_for(ask(), 1)
        except (*LOST, asyncio.TimeoutError):
            return False


LAYOUT = [('grandahus', ['leitarvefur', 'bokunarkerfi', 'gagnageymsla', 'leitarvefur']),
          ('hofdasalur', ['leitarvefur', 'bokunarkerfi', 'gagnageymsla']),
          ('vallasalur', ['leitarvefur', 'bokunarkerfi', 'gagnageymsla'])]
HOST = 'skra.example'
# name: prefix, kind, service, timeout, targetLatency, priority, deadline ms, work s
KINDS = {'vitnaleit': ('/vitnaleit/', 'safe', 'leitarvefur', '2000ms', '300ms', 2, 2000, 0.09),
         'vitnabokun': ('/vitnabokun/', 'unsafe', 'bokunarkerfi', '2500ms', '400ms', 1, 2500, 0.12),
         'greinargerd-inn': ('/greinargerd-inn/', 'upload', 'gagnageymsla', '2500ms', '400ms', 1,
                             2500, 0.11),
         'haefismat': ('/haefismat/', 'safe', 'bokunarkerfi', '250ms', '100ms', 2, 250, 0.022)}


def work_s(path):
    return next((k[7] for k in KINDS.values() if path.startswith(k[0])), 0.1)


class CannotRun(Exception):
    pass


def free_octet():
    for octet in random.sample(range(60, 120), 20):
        try:
            for ip in (f'127.{octet}.0.7', f'127.{octet}.1.1'):
                for port in (STORE, OUTBOUND, READY, CONTROL, APP, 9464, *PEER_PORTS):
                    with closing(socket.socket()) as s:
                        s.bind((ip, port))
            return octet
        except OSError:
            continue
    raise CannotRun('no free ports')


class Mesh:
    def __init__(self, record):
        with open(f'{ROOT}/deploy/system.toml', 'rb') as f:
            self.role = tomllib.load(f)['roles']['node']
        if not os.access(os.path.join(ROOT, self.role['run'].split()[0]), os.X_OK):
            raise CannotRun('the build of the deploy file is missing')
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.record = open(record, 'w')
        self.store, self.runs, self.sent, self.nodes = Store(), [], [], []
        self.zones = [zone for zone, _ in LAYOUT]
        self.octet = free_octet()
        for z, (zone, services) in enumerate(LAYOUT, 1):
            for i, service in enumerate(services, 1):
                self.nodes.append(Node(self, f'sidecar-{zone}-{i}', zone,
                                       f'127.{self.octet}.{z}.{i}', service))

    def note(self, what, **more):
        self.record.write(json.dumps({'t': round(now(), 3), 'what': what, **more}) + '\n')

    def config(self):
        routes = {name: {'host': HOST, 'prefix': k[0], 'kind': k[1], 'service': k[2],
                         'timeout': k[3], 'targetLatency': k[4], 'priority': k[5],
                         'maxAttempts': 3} for name, k in KINDS.items()}
        services = {s: {'healthPath': '/health', 'maxConnections': 120, 'protocol': 'h1',
                        'tls': False} for s in {k[2] for k in KINDS.values()}}
        return {'version': 'r1', 'routes': routes, 'services': services,
                'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                           'headerTimeout': '3000ms', 'idleTimeout': '15000ms'}}

    async def up(self):
        await self.store.start(f'127.{self.octet}.0.7')
        config = self.config()
        await self.store.put('op', 'config', json.dumps(config).encode())
        self.note('configuration', version=config['version'],
                  routes={n: r['service'] for n, r in config['routes'].items()})
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.endpoint = Endpoint(self, node, node.service)
            await node.endpoint.start()
        until = now() + 20
        while not all([await node.ready() for node in self.nodes]):
            if now() > until:
                raise CannotRun('the nodes are not ready within 20 s')
            await asyncio.sleep(0.2)
        await asyncio.sleep(2)

    def node(self, name):
        return next(n for n in self.nodes if n.name == name)

    def down(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    async def request(self, kind, node=None, size=None):
        prefix, sort, service, _, _, _, deadline_ms, _ = KINDS[kind]
        node = node or random.choice(self.nodes)
        safe = sort == 'safe'
        body = b'' if safe else os.urandom(size or random.randint(100, 4000))
        q = dict(t=round(now(), 3), id=f'{random.getrandbits(64):016x}', kind=kind, safe=safe,
                 method='GET' if safe else 'POST', path=f'{prefix}{random.randint(1, 99999)}',
                 service=service, node=node.name, bytes=len(body))
        self.sent.append(q)
        try:
            await asyncio.wait_for(self.exchange(node, q, body, deadline_ms),
                                   deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            q['end'] = 'no answer'
        except LOST as e:
            q['end'] = type(e).__name__
        q['answered'] = round(now(), 3)
        return q

    async def exchange(self, node, q, body, deadline_ms):
        reader, writer = await asyncio.open_connection(node.ip, OUTBOUND, limit=1 << 24)
        try:
            length = '' if q['safe'] else f'Content-Length: {len(body)}\r\n'
            writer.write(f'{q["method"]} {q["path"]} HTTP/1.1\r\nHost: {HOST}\r\n'
                         f'Bramleydrift-Request-Id: {q["id"]}\r\n'
                         f'Bramleydrift-Deadline-Ms: {deadline_ms}\r\n{length}\r\n'.encode() + body)
            line, headers = await read_head(reader)
            text = await read_body(reader, headers)
            q['status'] = int(line.split()[1])
            q['signature'] = headers.get('bramleydrift-server-signature')
            q['text'] = text.decode('latin1')[:160]
        finally:
            writer.close()

    async def traffic(self, mix, per_s, until):
        """Open traffic: `mix` is a list of kinds, drawn with equal chance."""
        tasks = set()
        while now() < until:
            task = asyncio.ensure_future(self.request(random.choice(mix)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
        if tasks:
            await asyncio.wait(tasks, timeout=4)

    def finish(self):
        """Writes the record; returns the requests by id and the runs by id."""
        runs = {}
        for run in self.runs:
            runs.setdefault(run['id'], []).append(run)
        left_out = ('t', 'safe', 'service', 'path', 'method', 'signature', 'text')
        for q in self.sent:
            self.note('request', sent=q['t'], by=q.get('text', '')[:40].split(' ran')[0],
                      **{k: v for k, v in q.items() if k not in left_out})
        left_out = ('t', 'path', 'method')
        for run in self.runs:
            self.note('run', at=run['t'], **{k: v for k, v in run.items() if k not in left_out})
        return {q['id']: q for q in self.sent}, runs


def main(case, record):
    """Runs `case(mesh, trouble)`, which returns the list of breaks, and exits."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        mesh = Mesh(record)
        try:
            breaks = await asyncio.wait_for(case(mesh, trouble), 110)
        finally:
            mesh.down()
        answers = {}
        for q in mesh.sent:
            key = str(q.get('status') or q.get('end'))
            answers[key] = answers.get(key, 0) + 1
        mesh.note('result', breaks=len(breaks), requests=len(mesh.sent), runs=len(mesh.runs),
                  answers=answers, trouble=trouble)
        mesh.record.close()
        for b in breaks[:3]:
            print(json.dumps(b))
        print(f'{len(breaks)} breaks, {len(mesh.sent)} requests, {len(mesh.runs)} runs, '
              f'answers {answers}', flush=True)
        # The connections that are still open need no orderly end.
        os._exit(1 if breaks else 0)

    try:
        asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        print(f'cannot run: {e or type(e).__name__}', flush=True)
        os._exit(2)
