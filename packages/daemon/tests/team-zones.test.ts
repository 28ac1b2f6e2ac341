import * as net from 'node:net';

import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { night, sales } = deployments.TOKENS;

/** Sends headers that announce a body but never the body; resolves to the response. */
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

void tap.default.test('a team is only served in its permitted zones', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
  await deployment.start(t);

  await t.test('the body is not read in a zone where the team is not permitted', async (t2) => {
    // The team is only allowed in zone a. A daemon of zone b answers after the headers, redirects
    // to zone a, and closes the connection without reading the body.
    const answer = await askWithoutBody(deployment.getUrl(1), night);
    t2.match(answer, /^HTTP\/1\.1 307 /);
    t2.match(answer, /bramleyridge-outcome: not-run/);
    const origin = /location: (http:\/\/[^/]+)\//.exec(answer)?.[1];
    t2.ok(
      [deployment.getUrl(0), deployment.getUrl(3)].includes(origin ?? ''),
      `redirected to ${origin}`,
    );
  });

  await t.test('the redirect leads to a response from the permitted zone', async (t2) => {
    const received = await callers.stream(deployment.getUrl(0), night, 12);
    t2.ok(callers.isWhole(received, 12));
    t2.equal(deployment.engines[0]!.record.has(received.generation), true);
  });

  await t.test(
    'a change that excludes a cut-off zone is reported as not in force there',
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
      await deployment.waitUntil('the change in force in a and c only', async () => {
        const { zones } = await read();
        const inForce = zones.filter((zone) => zone.isInForce).map((zone) => zone.availabilityZone);
        return inForce.join() === 'a,c';
      });
      deployment.healPartitions();
      await deployment.waitUntil('the change in force in b', async () =>
        (await read()).zones.every((z) => z.isInForce),
      );
      const answer = await askWithoutBody(deployment.getUrl(1), sales);
      t2.match(answer, /^HTTP\/1\.1 307 /, 'b then redirects the team');
    },
  );
});
