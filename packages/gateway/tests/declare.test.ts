import * as tap from 'tap';

import * as sites from './support/small-site.js';

void tap.default.test('declared documents outlast losses of hosts', async (t) => {
  // Three core hosts found the log, and a fourth is a spare. Any of them acknowledges the operator's documents while
  // one host is down and while one returns with an empty disk, and the entry host applies each of them soon after. An
  // older document that is sent again changes nothing.
  const site = new sites.SmallSite(t);
  await site.start(4);
  await site.declare({});
  await site.until('in force', () => site.entry.store.getVersion() === 1);

  await t.test('a lower version is acknowledged and changes nothing', async (t2) => {
    await site.declare({});
    const old = JSON.stringify(sites.createConfig(1));
    t2.same(await site.getOperatorService().declare(old), { version: 2 });
    const newest = await site.getOperatorService('127.0.1.4').read();
    t2.equal(newest?.version, 2, 'and a host that is no voter reads the newest too');
  });

  await t.test('other content under the version in force is never read back', async (t2) => {
    const other = JSON.stringify({ ...sites.createConfig(2), routes: [] });
    t2.same(await site.getOperatorService().declare(other), { version: 2 });
    const newest = await site.getOperatorService().read();
    t2.equal(newest?.text, JSON.stringify(sites.createConfig(2)));
  });

  await t.test('invalid documents are refused whatever their version', async (t2) => {
    const config = sites.createConfig(9);
    const [route] = config.routes;
    const cases = {
      'truncated JSON': '{"version":9,"routes":[',
      'an unknown service': {
        ...config,
        routes: [{ ...route, targets: [{ service: 'nobody', weight: 1 }] }],
      },
      'two routes with one path': { ...config, routes: [route, { ...route, name: 'other' }] },
      'targets without any weight': {
        ...config,
        routes: [{ ...route, targets: [{ service: 'app', weight: 0 }] }],
      },
      'a key shared by two teams': {
        ...config,
        teams: [...config.teams!, { name: 'b', keys: ['k1'] }],
      },
    };
    for (const [name, document] of Object.entries(cases)) {
      const text = typeof document === 'string' ? document : JSON.stringify(document);
      await t2.rejects(
        site.getOperatorService().declare(text),
        { options: { status: 400 } } as never,
        name,
      );
    }
    t2.equal((await site.getOperatorService().read())?.version, 2);
  });

  await t.test(
    'a host that lost its disk becomes a voter again, and then another may be lost',
    async (t2) => {
      site.stopCore('127.0.1.1', true);
      await site.startCore('127.0.1.1');
      await site.until('voting again', () =>
        site.lines.some(
          (line) => line.event === 'seated' && String(line.peer).startsWith('127.0.1.1'),
        ),
      );
      await site.declare({});
      site.stopCore('127.0.1.2');
      const version = await site.declare({});
      await site.until('in force', () => site.entry.store.getVersion() === version);
      t2.equal((await site.getOperatorService().read())?.version, version);
    },
  );

  await t.test('a host that does not return is replaced by the spare', async (t2) => {
    await site.until('replaced', () =>
      site.lines.some(
        (line) => line.event === 'seated' && String(line.peer).startsWith('127.0.1.4'),
      ),
    );
    const version = await site.declare({});
    t2.equal((await site.getOperatorService().read())?.version, version);
  });
});
