import type * as http from 'node:http';

import * as gateway from '@bramleyridge/gateway';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as sites from './support/small-site.js';
import * as testWire from './support/test-wire.js';

const NAME = 'sales\nx';

function reply(req: http.IncomingMessage, res: http.ServerResponse) {
  res.writeHead(200, { 'call-id': req.headers['call-id'], 'content-length': 2 });
  res.end('ok');
}

// Guards against calls of a team that an old log names, which fail as possibly run and cost their upstreams.
void tap.default.test('only calls of a team that no header can name are refused', async (t) => {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  await site.addUpstream('app-1', 'app', reply);
  const version = await site.declare({
    teams: [
      { name: NAME, keys: ['k9'] },
      { name: 'caf\u00e9', keys: ['k1'] },
    ],
  });
  await site.until('in force', () => site.entry.store.getVersion() === version);
  await site.until('listed', () => site.entry.directory.listLive('app').length === 1);
  for (let round = 0; round < 5; round += 1) {
    for (const path of ['/plain/x', '/once/x']) {
      const res = await site.call(path, { key: 'k9' });
      t.same([res.status, res.headers['bramleyridge-outcome']], [503, 'not-run'], path);
      t.match(res.body, 'sales\\\\nx');
    }
  }
  t.equal(site.lines.filter(({ decision }) => decision === 'upstream-failed').length, 0);
  t.equal((await site.call('/plain/x', { key: 'k1' })).status, 200);
});

// Guards against a refusal of what a former version has acknowledged.
void tap.default.test('the document in force is acknowledged again unchecked', async (t) => {
  const text = JSON.stringify({ ...sites.createConfig(3), teams: [{ name: NAME, keys: ['k1'] }] });
  const origins: gateway.DocumentOrigin[] = [];
  const codec: gateway.DocumentCodec = {
    decode: (document, origin) => {
      origins.push(origin);
      return new testWire.TestCodec().decode(document);
    },
  };
  const group = {
    state: { get: () => ({ version: 3, text }) },
    getLeadership: () => ({ propose: async () => Promise.resolve({ result: { version: 3 } }) }),
  };
  const service = new gateway.OperatorService({
    group: group as never,
    leader: { request: (own: () => unknown) => own() } as never,
    codec,
    log: new schemas.SilentLog(),
    acknowledgeMs: 1_000,
  });
  await service.declare(text);
  await service.declare(JSON.stringify(sites.createConfig(4)));
  t.same(origins, ['log', 'operator']);
});
