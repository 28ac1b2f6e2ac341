import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

void tap.default.test('planned stops and leaving upstreams interrupt no request', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2, 2);
  await deployment.start(t);

  await t.test('a daemon that stops under load finishes every stream', async (t2) => {
    // The balancer still sends requests after readiness failed; they are served too.
    const before = Array.from({ length: 12 }, () =>
      callers.stream(deployment.getUrl(3), sales, 400),
    );
    await deployment.waitUntil(
      'the streams to run',
      () => deployment.running[3]!.daemon.context.drain.getActive() >= 12,
    );
    const stopped = deployment.running[3]!.daemon.stop();
    deployment.running[3]!.isUp = false;
    const ready = await fetch(`${deployment.getUrl(3)}/readyz`);
    t2.equal(ready.status, 503, 'readiness fails at once');
    const late = callers.stream(deployment.getUrl(3), sales, 50);
    const received = await Promise.all(before);
    t2.equal(
      received.filter((item) => callers.isWhole(item, 400)).length,
      12,
      'no stream is interrupted',
    );
    t2.ok(callers.isWhole(await late, 50), 'the late request is served too');
    await stopped;
    await deployment.restartUntilReady(3);
  });

  await t.test('the owner of a pool stops while requests are queued and running', async (t2) => {
    const owner = deployment.running[0]!.daemon.view.findOwner('drafter')!.daemonId;
    const index = deployment.running.findIndex((item) => item.cfg.daemonId === owner);
    const other = index === 0 ? 3 : 0;
    const streams = Array.from({ length: 10 }, () =>
      callers.stream(deployment.getUrl(other), sales, 300),
    );
    deployment.running[index]!.isUp = false;
    const stopped = deployment.running[index]!.daemon.stop();
    const received = await Promise.all(streams);
    t2.equal(received.filter((item) => callers.isWhole(item, 300)).length, 10);
    await stopped;
    await deployment.restartUntilReady(index);
  });

  await t.test(
    'the owner of a pool is killed: streams continue, new requests are served',
    async (t2) => {
      const owner = deployment.running[0]!.daemon.view.findOwner('drafter')!.daemonId;
      const index = deployment.running.findIndex((item) => item.cfg.daemonId === owner);
      const other = index === 0 ? 3 : 0;
      const running = callers.stream(deployment.getUrl(other), sales, 400);
      await deployment.waitUntil(
        'the stream to run',
        () => deployment.running[other]!.daemon.context.poolClient.countActiveGenerations() > 0,
      );
      deployment.kill(index);
      const next = await callers.stream(deployment.getUrl(other), sales, 60);
      t2.ok(callers.isWhole(next, 60), 'a new request');
      t2.ok(callers.isWhole(await running, 400), 'the running stream');
      await deployment.restartUntilReady(index);
    },
  );

  await t.test('a leaving upstream gets no new work and finishes its running work', async (t2) => {
    const [leaving, staying] = [deployment.engines[0]!, deployment.engines[1]!];
    const busy = Array.from({ length: 6 }, () => callers.stream(deployment.getUrl(0), sales, 500));
    await deployment.waitUntil('work on the leaving engine', () => !leaving.model.isIdle());
    const upstreams = deployment.platform
      .get()
      .map((item) =>
        item.upstreamId === 'engine-a-1' ? { ...item, state: 'leaving' as const } : item,
      );
    deployment.platform.set(upstreams);
    await deployment.waitUntil('the leaving state at both daemons', () =>
      [0, 3].every((i) =>
        deployment.running[i]!.daemon.view.getDirectory().upstreams.some(
          (item) => item.upstreamId === 'engine-a-1' && item.state === 'leaving',
        ),
      ),
    );
    await deployments.pause(300);
    const before = leaving.record.size;
    const received = await Promise.all(
      Array.from({ length: 8 }, (_, i) =>
        callers.stream(deployment.getUrl(i % 2 === 0 ? 0 : 3), sales, 20),
      ),
    );
    t2.equal(
      received.filter((item) => callers.isWhole(item, 20)).length,
      8,
      'new work runs on other engines',
    );
    t2.equal(leaving.record.size, before, 'it received no new work');
    t2.ok(staying.record.size > 0);
    const ended = await Promise.all(busy);
    t2.equal(
      ended.filter((item) => callers.isWhole(item, 500)).length,
      6,
      'its running work completed',
    );
  });
});
