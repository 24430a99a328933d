"""A version with a service name of 34 characters moves a route."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib'))
import mesh

CONFIG_S = 2.0      # `config` of the deployment
LONG = 'skjalasafn-fyrir-eldri-domskyrslur'
SHORT = 'skjalasafn'
MIX = ['vitnaleit', 'vitnabokun', 'haefismat', 'haefismat']


async def case(m, trouble):
    await m.up()
    traffic = asyncio.ensure_future(m.traffic(MIX, 100, mesh.now() + 24))
    await asyncio.sleep(3)

    # Two versions: the first adds a service with a route and moves `haefismat` to another service,
    # the second changes a time-out only.
    config = m.config()
    name = LONG if trouble else SHORT
    config['services'][name] = config['services']['gagnageymsla']
    config['routes']['eldri-domar'] = {**config['routes']['vitnaleit'], 'prefix': '/eldri-domar/',
                                       'service': name}
    config['routes']['haefismat']['service'] = 'gagnageymsla'
    acknowledged = None
    for version, timeout in (('r4', '2000ms'), ('r9', '2100ms')):
        config['version'] = version
        config['routes']['vitnaleit']['timeout'] = timeout
        await m.store.put('op', 'config', json.dumps(config).encode())
        acknowledged = acknowledged or mesh.now()
        m.note('configuration', version=version,
               routes={n: r['service'] for n, r in config['routes'].items()})
        await asyncio.sleep(10)
    await traffic
    sent, runs = m.finish()
    for row, (value, _) in m.store.rows.items():
        if row[0] == 'status':
            m.note('status row', key=row[2], value=value.decode())
            print(row[2], value.decode()[:240])
    return [dict(rule='CONFIG', after_s=round(sent[i]['t'] - acknowledged, 2), request=sent[i],
                 run=run) for i, all_runs in runs.items() for run in all_runs
            if i in sent and sent[i]['kind'] == 'haefismat' and run['service'] == 'bokunarkerfi'
            and sent[i]['t'] > acknowledged + CONFIG_S]


mesh.main(case, os.path.join(HERE, 'record.txt'))
