"""A rolling restart: the machine that runs a lookup stops, then the one that took it."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib'))
import mesh

GRACE_S, LOSS_SLACK_S = 6.0, 0.2
GAP_S = 1.1             # `gap_s` of roll_term is 1.0 at least
WORK_S = 6.4            # the longest work of manifest-read is 6.6 s
TIMEOUT_S = 8.0         # `timeout` of manifest-read
ROUNDS = 4
KINDS = ['vitnaleit', 'vitnabokun']

# manifest-read of mret-merkez: the time-out and the deadline of its sheet.
mesh.KINDS['manifest-read'] = ('/manifest-read/', 'safe', 'gagnageymsla', '8000ms', '2500ms', 1,
                               15000, 0.88)


async def restart(m, node):
    """SIGTERM, SIGKILL after `grace`, and a start."""
    node.stopped.append(mesh.now())
    process = node.process
    node.signal(signal.SIGTERM)
    while process.poll() is None and mesh.now() < node.stopped[-1] + GRACE_S:
        await asyncio.sleep(0.02)
    m.note('node ends', node=node.name, after_s=round(mesh.now() - node.stopped[-1], 2),
           killed=process.poll() is None)
    if process.poll() is None:
        node.kill()
    await asyncio.sleep(0.3)
    node.start()


async def roll(m, order):
    tasks = []
    for name in order:
        tasks.append(asyncio.ensure_future(restart(m, m.node(name))))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


async def long_work(endpoint, reader, writer, headers, run):
    """Lookups of the kind in question work long; the endpoint is sound otherwise."""
    if not run['path'].startswith('/manifest-read/'):
        return None
    await mesh.read_body(reader, headers)
    endpoint.mesh.runs.append(run)
    ended = asyncio.ensure_future(reader.read(1))
    done, _ = await asyncio.wait([ended], timeout=WORK_S)
    run['worked_s'] = round(mesh.now() - run['t'], 2)
    if done:
        run['end'] = 'its connection ended'
        return False
    run['end'] = 'done'
    ended.cancel()
    text = f'{endpoint.service} {endpoint.id} ran {run["id"]} {run["path"]}'.encode()
    writer.write(endpoint.head(run, len(text)) + text)
    await writer.drain()
    return False


def is_lost(m, q, run):
    """LOST, after a SIGTERM: the machine that took the request got SIGTERM, and until 1 s after
    `grace` an answer of the node's own replaced that of an endpoint at work.  Not counted: the
    time-out was reached; the end was in the last sixth of `grace`, of a request sent no later than
    3 s after the SIGTERM."""
    if q.get('status') != 504 or run.get('end') != 'its connection ended':
        return False
    if q['answered'] >= q['t'] + TIMEOUT_S - LOSS_SLACK_S:
        return False
    for at in m.node(q['node']).stopped:
        end = q['answered'] - at
        if 0 <= end <= GRACE_S + 1 and not GRACE_S * 5 / 6 <= end <= GRACE_S:
            return True
    return False


async def case(m, trouble):
    config = m.config()
    config['routes']['manifest-read']['maxAttempts'] = 1
    m.config = lambda: config
    await m.up()
    for node in m.nodes:
        node.stopped = []
        if node.service == 'gagnageymsla':
            node.endpoint.before = long_work
    traffic = asyncio.ensure_future(m.traffic(KINDS, 80, mesh.now() + ROUNDS * 16 + 2))
    lookups = []
    for _ in range(ROUNDS):
        order = ['sidecar-grandahus-3', 'sidecar-hofdasalur-1', 'sidecar-vallasalur-1',
                 'sidecar-hofdasalur-2', 'sidecar-grandahus-1', 'sidecar-grandahus-2']
        rolling = asyncio.ensure_future(roll(m, order)) if trouble else None
        await asyncio.sleep(0.3)
        for name in ('sidecar-grandahus-1', 'sidecar-grandahus-2'):
            lookups += [asyncio.ensure_future(m.request('manifest-read', m.node(name)))
                        for _ in range(3)]
        await asyncio.sleep(15.7)
        if rolling is not None:
            await rolling
    await traffic
    await asyncio.gather(*lookups)
    sent, runs = m.finish()
    return [dict(rule='LOST', request=q, stopped=[round(t, 2) for t in m.node(q['node']).stopped],
                 runs=runs[i])
            for i, q in sent.items() if q['kind'] == 'manifest-read' and i in runs
            and len(runs[i]) == 1 and is_lost(m, q, runs[i][0])]


mesh.main(case, os.path.join(HERE, 'record.txt'))
