import * as tap from 'tap';

import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

interface Answer {
  readonly status: number;
  readonly outcome: string | null;
}

async function confirm(url: string, booking: string, key?: string): Promise<Answer> {
  const res = await fetch(`${url}/services/booking/confirms`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${sales}`,
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    },
    body: JSON.stringify({ booking }),
  });
  await res.text();
  return { status: res.status, outcome: res.headers.get('bramleyridge-outcome') };
}

function countRuns(deployment: deployments.SmallDeployment, booking: string): number {
  return deployment.services.reduce((sum, item) => sum + (item.confirms.get(booking) ?? 0), 0);
}

void tap.default.test(
  'a confirm runs at most once, and its reported outcome is correct',
  async (t) => {
    const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
    await deployment.start(t);

    await t.test(
      'repeated requests through other daemons and zones get the first answer',
      async (t2) => {
        const first = await confirm(deployment.getUrl(0), 'b1', 'k1');
        const second = await confirm(deployment.getUrl(3), 'b1', 'k1');
        const third = await confirm(deployment.getUrl(1), 'b1', 'k1');
        [first, second, third].forEach((answer) => t2.equal(answer.outcome, 'complete'));
        t2.equal(countRuns(deployment, 'b1'), 1);
      },
    );

    await t.test('ten concurrent requests with one key run it once', async (t2) => {
      const answers = await Promise.all(
        Array.from({ length: 10 }, (_, i) => confirm(deployment.getUrl(i % 6), 'b2', 'k2')),
      );
      t2.ok(answers.some((answer) => answer.outcome === 'complete'));
      t2.equal(countRuns(deployment, 'b2'), 1);
    });

    await t.test('a key that was used for another call is refused', async (t2) => {
      await confirm(deployment.getUrl(0), 'b3', 'k3');
      const other = await confirm(deployment.getUrl(0), 'b4', 'k3');
      t2.equal(other.status, 422);
      t2.equal(other.outcome, 'not-run');
      t2.equal(countRuns(deployment, 'b4'), 0);
    });

    await t.test(
      'a reset after the service ran it: reported as unknown and never sent again',
      async (t2) => {
        deployment.services.forEach((service) => (service.faults.resetAfterRead = true));
        const lost = await confirm(deployment.getUrl(0), 'b5', 'k5');
        deployment.services.forEach((service) => (service.faults.resetAfterRead = false));
        const resent = await confirm(deployment.getUrl(3), 'b5', 'k5');
        t2.equal(lost.outcome, 'unknown');
        t2.equal(resent.outcome, 'unknown', 'the repeated request gets no guessed outcome');
        t2.equal(countRuns(deployment, 'b5'), 1);
      },
    );

    await t.test(
      'a refusal by the service: not-run is correct, and the key may run later',
      async (t2) => {
        deployment.services.forEach((service) => (service.faults.refuse = true));
        const refused = await confirm(deployment.getUrl(0), 'b6', 'k6');
        deployment.services.forEach((service) => (service.faults.refuse = false));
        t2.equal(refused.outcome, 'not-run');
        t2.equal(countRuns(deployment, 'b6'), 0);
        await deployment.waitUntil('the key to run after the refusal', async () => {
          const later = await confirm(deployment.getUrl(0), 'b6', 'k6');
          return later.outcome === 'complete';
        });
        t2.equal(countRuns(deployment, 'b6'), 1);
      },
    );

    await t.test(
      'the daemon that ran it is killed: a repeated request elsewhere gets unknown',
      async (t2) => {
        // The confirm ran, and only the killed daemon had its answer. It must not run again.
        await confirm(deployment.getUrl(5), 'b7', 'k7');
        deployment.kill(5);
        const resent = await confirm(deployment.getUrl(2), 'b7', 'k7');
        t2.equal(resent.outcome, 'unknown');
        t2.equal(countRuns(deployment, 'b7'), 1);
        await deployment.restart(5);
        await deployment.waitUntil('the restarted daemon', () =>
          deployment.running[5]!.daemon.store.isReady(),
        );
        const again = await confirm(deployment.getUrl(5), 'b7', 'k7');
        t2.equal(again.outcome, 'unknown', 'also after its restart without the state of the call');
        t2.equal(countRuns(deployment, 'b7'), 1);
      },
    );

    await t.test(
      'a cut-off zone serves calls without a key and refuses those with one as not run',
      async (t2) => {
        deployment.isolateZone('a');
        const keyed = await confirm(deployment.getUrl(0), 'b8', 'k8');
        t2.equal(keyed.outcome, 'not-run', 'the zone has no majority of the claim group');
        t2.equal(countRuns(deployment, 'b8'), 0);
        const res = await fetch(`${deployment.getUrl(0)}/services/booking/slots/7`, {
          headers: { authorization: `Bearer ${sales}` },
        });
        await res.text();
        t2.equal(res.status, 200, 'a slot query is served');
        const outside = await confirm(deployment.getUrl(1), 'b9', 'k9');
        t2.equal(outside.outcome, 'complete', 'the other zones still serve');
        deployment.healPartitions();
        await deployment.waitUntil('the zone to claim again', async () => {
          const healed = await confirm(deployment.getUrl(0), 'b8', 'k8');
          return healed.outcome === 'complete';
        });
        t2.equal(countRuns(deployment, 'b8'), 1);
      },
    );

    await t.test(
      'all acceptors lose their state: calls with a key are refused until an operator acts',
      async (t2) => {
        // All daemons restart one after the other, faster than acceptors can copy their state. No
        // daemon has a record of the used keys any more, so a resend of b1, which ran, must not run
        // again.
        await Promise.all(
          deployment.running.map(async (_, i) => {
            deployment.kill(i);
            await deployment.restart(i);
          }),
        );
        await deployment.waitUntil('all restarted daemons', () =>
          deployment.running.every((item) => item.daemon.store.isReady()),
        );
        const refused = await confirm(deployment.getUrl(0), 'b1', 'k1');
        t2.equal(refused.outcome, 'not-run');
        t2.equal(countRuns(deployment, 'b1'), 1);
        const done = await deployment.callOperatorApi('/claims/refound', {});
        t2.equal(done.status, 200);
        await deployment.waitUntil('the new claim group', async () => {
          const answer = await confirm(deployment.getUrl(1), 'b20', 'k20');
          return answer.outcome === 'complete';
        });
        t2.equal(countRuns(deployment, 'b20'), 1);
      },
    );
  },
);
