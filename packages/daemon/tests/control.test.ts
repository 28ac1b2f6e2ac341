import type * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as deployments from './support/small-deployment.js';

interface Planned {
  readonly plan: schemas.Plan;
  readonly effects: string[];
}

function withWeight(files: readonly schemas.DeclarationFile[], weight: number) {
  return files.map((file) =>
    file.kind === 'team' && file.name === 'sales' ? { ...file, weight } : file,
  );
}

function getWeight(deployment: deployments.SmallDeployment, index: number): number | undefined {
  const { declaration } = deployment.running[index]!.daemon.store.get();
  return declaration.teams.find((team) => team.name === 'sales')?.weight;
}

function hasEngine(deployment: deployments.SmallDeployment, index: number, id: string): boolean {
  const { upstreams } = deployment.running[index]!.daemon.view.getDirectory();
  return upstreams.some((item) => item.upstreamId === id);
}

/** Plans and confirms; repeats the plan until it is accepted when `isRetried`. */
async function confirm(
  deployment: deployments.SmallDeployment,
  requestId: string,
  files: readonly schemas.DeclarationFile[],
  isRetried = false,
): Promise<void> {
  for (let i = 0; ; i += 1) {
    const planned = await deployment.callOperatorApi('/plans', {
      requestId: `${requestId}-${i}`,
      files,
    });
    if (planned.status === 200 || !isRetried) {
      const { planId } = (planned.body as Planned).plan;
      await deployment.callOperatorApi(`/plans/${planId}/confirm`, {
        requestId: `${requestId}-confirm`,
      });
      return;
    }
    await deployments.pause(100);
  }
}

void tap.default.test(
  'an accepted configuration is in force everywhere and never reverts',
  async (t) => {
    const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
    await deployment.start(t);
    const files = deployment.createFiles();

    await t.test('a plan shows what will change and changes nothing', async (t2) => {
      const answer = await deployment.callOperatorApi('/plans', {
        requestId: 'p1',
        files: withWeight(files, 5),
      });
      const { plan } = answer.body as Planned;
      t2.equal(plan.changes.length, 1);
      t2.equal(getWeight(deployment, 0), 1, 'nothing has changed yet');
      const again = await deployment.callOperatorApi('/plans', {
        requestId: 'p1',
        files: withWeight(files, 5),
      });
      t2.equal(
        (again.body as Planned).plan.planId,
        plan.planId,
        'a repeated request gets the first response',
      );
    });

    await t.test('of two plans on the same base revision exactly one is confirmed', async (t2) => {
      const [one, two] = await Promise.all(
        [2, 3].map(async (weight) => {
          const answer = await deployment.callOperatorApi('/plans', {
            requestId: `race-${weight}`,
            files: withWeight(files, weight),
          });
          return (answer.body as Planned).plan;
        }),
      );
      t2.equal(one!.baseRevision, two!.baseRevision);
      const answers = await Promise.all([
        deployment.callOperatorApi(`/plans/${one!.planId}/confirm`, { requestId: 'c-one' }, 0),
        deployment.callOperatorApi(`/plans/${two!.planId}/confirm`, { requestId: 'c-two' }, 1),
      ]);
      t2.same(answers.map((answer) => answer.status).sort(), [200, 409]);
      const loser = answers.find((answer) => answer.status === 409)!;
      t2.match(
        JSON.stringify(loser.body),
        /night confirmed plan-/,
        'the refusal names the operator and the plan',
      );
      const winner = answers.findIndex((answer) => answer.status === 200);
      const id = winner === 0 ? one!.planId : two!.planId;
      const resent = await deployment.callOperatorApi(
        `/plans/${id}/confirm`,
        { requestId: winner === 0 ? 'c-one' : 'c-two' },
        2,
      );
      t2.same(resent.body, answers[winner]!.body, 'a repeated request through another voter');
    });

    await t.test(
      'a declaration that the deployment cannot satisfy is refused with its path',
      async (t2) => {
        const cases = [
          {
            name: 'unknown zone',
            change: { availabilityZones: ['nowhere'] },
            fault: /no availability zone/,
          },
          {
            name: 'more upstreams than there are',
            change: { upstreamsPerZone: 9 },
            fault: /9 are wanted/,
          },
          { name: 'unknown team', change: { teams: ['nobody'] }, fault: /no team nobody/ },
        ];
        for (const { name, change, fault } of cases) {
          const changed = files.map((file) =>
            file.kind === 'intent' ? { ...file, ...change } : file,
          );
          const answer = await deployment.callOperatorApi('/plans', {
            requestId: name,
            files: changed,
          });
          t2.equal(answer.status, 422, name);
          t2.match(JSON.stringify(answer.body), fault, name);
        }
      },
    );

    await t.test(
      'a cut-off zone keeps its last revision and applies the newest one after the partition',
      async (t2) => {
        deployment.isolateZone('c');
        const before = deployment.running[5]!.daemon.store.get().revision;
        for (const weight of [11, 12, 13]) {
          const planned = await deployment.callOperatorApi(
            '/plans',
            { requestId: `cut-${weight}`, files: withWeight(files, weight) },
            0,
          );
          const { planId } = (planned.body as Planned).plan;
          await deployment.callOperatorApi(
            `/plans/${planId}/confirm`,
            { requestId: `cut-c-${weight}` },
            0,
          );
        }
        t2.equal(deployment.running[5]!.daemon.store.get().revision, before);
        deployment.healPartitions();
        await deployment.waitUntil(
          'the newest revision in zone c',
          () => getWeight(deployment, 5) === 13,
        );
        t2.equal(getWeight(deployment, 2), 13);
      },
    );

    await t.test(
      'revisions never decrease while voters and daemons are killed and restarted',
      async (t2) => {
        const highest = deployment.running.map(() => 0);
        let decreases = 0;
        const timer = setInterval(() => {
          deployment.running.forEach((item, i) => {
            const { revision } = item.daemon.store.get();
            if (item.isUp && item.daemon.store.isReady()) {
              decreases += revision < highest[i]! ? 1 : 0;
              highest[i] = Math.max(highest[i]!, revision);
            }
          });
        }, 5);
        for (const [round, victim] of [0, 3, 1, 4, 2].entries()) {
          deployment.kill(victim);
          const at = deployment.running.findIndex((item) => item.isUp);
          const planned = await deployment.callOperatorApi(
            '/plans',
            { requestId: `kill-${round}`, files: withWeight(files, 20 + round) },
            at,
          );
          const { planId } = (planned.body as Planned).plan;
          const done = await deployment.callOperatorApi(
            `/plans/${planId}/confirm`,
            { requestId: `kill-c-${round}` },
            at,
          );
          t2.equal(
            done.status,
            200,
            `confirmed without ${deployment.running[victim]!.cfg.daemonId}`,
          );
          await deployment.restart(victim);
          await deployment.waitUntil(
            'the revision at the restarted daemon',
            () => getWeight(deployment, victim) === 20 + round,
          );
        }
        clearInterval(timer);
        t2.equal(decreases, 0);
      },
    );

    await t.test(
      'an engine that was not listed gets orders of the latest state only',
      async (t2) => {
        // 30 versions are confirmed while the platform does not list the engine; then it is listed
        // again.
        const engine = deployment.engines[0]!;
        const all = deployment.platform.get();
        deployment.platform.set(all.filter((item) => item.upstreamId !== 'engine-a-1'));
        await deployment.waitUntil('the list without the engine', () =>
          [0, 3].every((i) => !hasEngine(deployment, i, 'engine-a-1')),
        );
        const before = engine.orders.length;
        const zones = files.map((file) => {
          const isTeam = file.kind === 'team';
          return isTeam || file.kind === 'intent'
            ? { ...file, availabilityZones: ['b', 'c'] }
            : file;
        });
        await deployment.apply(zones);
        for (let i = 2; i <= 31; i += 1) {
          const version = `v${i}`;
          const next = zones.map((file) => (file.kind === 'intent' ? { ...file, version } : file));
          await confirm(deployment, `version-${i}`, next);
        }
        deployment.platform.set(all);
        const last = files.map((file) =>
          file.kind === 'intent' ? { ...file, version: 'v31' } : file,
        );
        await deployment.waitUntil('the engine to be listed', () =>
          hasEngine(deployment, 0, 'engine-a-1'),
        );
        await confirm(deployment, 'version-last', last, true);
        const ordered = () =>
          engine.orders.slice(before).map(({ order }) => `${order.action} ${order.version}`);
        await deployment.waitUntil('the last version to be ordered', () =>
          ordered().includes('load v31'),
        );
        const unexpected = ordered().filter((item) => item !== 'load v31' && item !== 'unload v1');
        t2.same(unexpected, [], 'no order of a superseded state');
      },
    );

    await t.test('an operator adds a voter that lost its disk again', async (t2) => {
      const victim = deployment.running.findIndex(
        ({ cfg }, i) => cfg.voter && i !== deployment.findLeader(),
      );
      const { daemonId } = deployment.running[victim]!.cfg;
      deployment.kill(victim);
      await deployment.restartWithEmptyDisk(victim);
      const voter = () => deployment.running[victim]!.daemon.control.voter;
      await deployment.waitUntil(
        'the voter with the new data directory',
        () => voter() !== undefined,
      );
      t2.notOk(voter()!.hasSlot(), 'it has no voter slot');
      const added = await deployment.callOperatorApi('/voters', { action: 'add', daemonId });
      t2.equal(added.status, 200);
      await deployment.waitUntil('the voter slot', () => voter()!.hasSlot());
      await confirm(deployment, 'after-repair', withWeight(files, 77));
      await deployment.waitUntil(
        'the change at the repaired voter',
        () => getWeight(deployment, victim) === 77,
      );
      t2.pass('the voter applies new entries');
    });

    await t.test('a wrong operator token is refused', async (t2) => {
      const res = await fetch(`${deployment.getUrl(0)}/operator/v1/status`, {
        headers: { authorization: 'Bearer nobody' },
      });
      t2.equal(res.status, 401);
      await res.text();
    });
  },
);
