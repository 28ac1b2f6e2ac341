import * as gateway from '@bramleyridge/gateway';
import * as tap from 'tap';

import * as sites from './support/small-site.js';

/** Number of routes that make a document of some 190 KB. */
const ROUTES = 800;

/** Number of documents whose entries are larger together than one frame of a peer connection, 16 MiB. */
const DOCUMENTS = 110;

/** Creates routes that a document of operators with many sites has. */
function createRoutes() {
  const [route] = sites.createConfig(1).routes;
  return Array.from({ length: ROUTES }, (_, i) => ({
    ...route!,
    name: `route-${i}`,
    pathPrefix: `/path-${i}/`,
  }));
}

function isHost(peer: unknown, ip: string): boolean {
  return String(peer).startsWith(`${ip}:`);
}

void tap.default.test('an empty core host joins a log of large configurations', async (t) => {
  // Guards against a host that is sent its whole log in one message over the limit and never becomes a voter, so that
  // the next loss of one host ends the majority.
  const site = new sites.SmallSite(t);
  await site.start(3);
  const routes = createRoutes();
  for (let i = 0; i < DOCUMENTS; i += 1) {
    await site.declare({ routes });
  }
  const leader = site.findLeader()!;
  const [wiped, lost] = ['127.0.1.1', '127.0.1.2', '127.0.1.3'].filter((ip) => ip !== leader);
  site.stopCore(wiped!, true);
  const from = site.lines.length;
  await site.startCore(wiped!);
  await site.until('a voter again', () =>
    site.lines.slice(from).some(({ event, peer }) => event === 'seated' && isHost(peer, wiped!)),
  );
  site.stopCore(lost!);
  const version = await site.declare({ routes });
  const document = await site.getOperatorService(wiped).read();
  t.equal(document?.version, version, 'two of three hosts read the newest document back');
});

void tap.default.test('a document that hosts could not hold is refused at once', async (t) => {
  // Guards against a document that is accepted and then fails at each host that is to receive it.
  const site = new sites.SmallSite(t);
  await site.start(3);
  await site.declare({});
  const config = { ...sites.createConfig(2), comment: 'x'.repeat(gateway.MAX_DOCUMENT_BYTES) };
  for (const ip of ['127.0.1.1', '127.0.1.2', '127.0.1.3']) {
    await t.rejects(site.getOperatorService(ip).declare(JSON.stringify(config)), {
      id: 'documentTooLarge',
      message: /the document has 8\d+ bytes; the limit is 8388608/,
      options: { status: 413, outcome: 'not-run' },
    });
  }
  t.equal((await site.getOperatorService().read())?.version, 1, 'and changes nothing');
  t.equal(await site.declare({}), 2, 'the next one is accepted');
});
