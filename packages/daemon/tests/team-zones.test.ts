import * as net from 'node:net';

import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { night, sales } = deployments.TOKENS;

/** Sends headers that promise a body, and never the body; gives what comes back. */
function askWithoutBody(url: string, token: string): Promise<string> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = net.connect(Number(port), hostname, () => {
      socket.write(
        'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n' +
          `authorization: Bearer ${token}\r\ncontent-length: 100000\r\n\r\n`,
      );
    });
    let text = '';
    socket.on('data', (part) => {
      text += part.toString('utf8');
    });
    socket.on('close', () => resolve(text));
    socket.on('error', () => resolve(text));
  });
}

void tap.default.test('place outranks speed', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
  await deployment.start(t);

  await t.test('a body is not read where the team is not permitted', async (t2) => {
    // The team may only be in zone a. A daemon of zone b answers from the headers alone, points to
    // zone a, and closes the connection instead of taking the body in.
    const answer = await askWithoutBody(deployment.getUrl(1), night);
    t2.match(answer, /^HTTP\/1\.1 307 /);
    t2.match(answer, /bramleyridge-outcome: not-run/);
    const entry = /location: (http:\/\/[^/]+)\//.exec(answer)?.[1];
    t2.ok([deployment.getUrl(0), deployment.getUrl(3)].includes(entry ?? ''), `to ${entry}`);
  });

  await t.test('following the redirect gets the answer in the permitted zone', async (t2) => {
    const seen = await callers.stream(deployment.getUrl(0), night, 12);
    t2.ok(callers.isWhole(seen, 12));
    t2.equal(deployment.engines[0]!.record.has(seen.generation), true);
  });

  await t.test(
    'narrowing a cut-off zone: status says that it is not in force there',
    async (t2) => {
      deployment.isolateZone('b');
      const files = deployment
        .createFiles()
        .map((file) =>
          file.kind === 'team' && file.name === 'sales'
            ? { ...file, availabilityZones: ['a', 'c'] }
            : file,
        );
      const planned = await deployment.callOperatorApi('/plans', { requestId: 'narrow', files }, 0);
      const { planId } = (planned.body as { plan: { planId: string } }).plan;
      const confirmed = await deployment.callOperatorApi(
        `/plans/${planId}/confirm`,
        { requestId: 'n2' },
        0,
      );
      t2.equal(confirmed.status, 200);
      interface Status {
        readonly zones: { readonly availabilityZone: string; readonly isInForce: boolean }[];
      }
      const read = async () =>
        (await deployment.callOperatorApi('/status', undefined, 0)).body as Status;
      await deployment.waitUntil('a and c to have it, b not', async () => {
        const { zones } = await read();
        const inForce = zones.filter((zone) => zone.isInForce).map((zone) => zone.availabilityZone);
        return inForce.join() === 'a,c';
      });
      deployment.healPartitions();
      await deployment.waitUntil('b to have it', async () =>
        (await read()).zones.every((z) => z.isInForce),
      );
      const answer = await askWithoutBody(deployment.getUrl(1), sales);
      t2.match(answer, /^HTTP\/1\.1 307 /, 'and then b refuses the team');
    },
  );
});
