import * as http from 'node:http';

import type * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

/** Makes a call run at most once. */
const ONCE = { 'bramleyridge-repeatable': 'no' };

/** Counts the generations that the engines begin, also those that a restarted engine has forgotten. */
function countBegun(engines: readonly fakes.FakeEngine[]): string[] {
  const begun: string[] = [];
  engines.forEach(({ model }) => {
    const { submit } = model;
    model.submit = (run) => {
      begun.push(run.id);
      submit.call(model, run);
    };
  });
  return begun;
}

/** Restarts the engine that begins the first generation, and ends its connection before the answer begins. */
function restartInFirstStart(
  t: { teardown(handler: () => unknown): void },
  engines: readonly fakes.FakeEngine[],
): string[] {
  const begun = countBegun(engines);
  engines.forEach((engine) => {
    const { submit } = engine.model;
    engine.model.submit = (run) => {
      submit.call(engine.model, run);
      if (begun.length === 1) {
        setImmediate(() => engine.restart());
      }
    };
  });
  const { writeHead } = http.ServerResponse.prototype;
  t.teardown(() => {
    http.ServerResponse.prototype.writeHead = writeHead;
  });
  http.ServerResponse.prototype.writeHead = function cutFirst(
    this: http.ServerResponse,
    ...args: unknown[]
  ) {
    const { headers, method, socket, url } = this.req;
    const isStart = method === 'POST' && url?.startsWith('/v1/chat') === true;
    if (isStart && begun.length === 1 && headers['x-request-id'] === begun[0]) {
      socket.destroy();
      return this;
    }
    return writeHead.apply(this, args as never);
  } as never;
  return begun;
}

// Guards against a second run, or a claim of none, when an engine that has restarted says that it doesn't know a start.
void tap.default.test('a lost start at a restarted engine may have run', async (t) => {
  for (const enginesPerZone of [1, 2]) {
    await t.test(`engines in a zone: ${enginesPerZone}`, async (t2) => {
      const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1, enginesPerZone);
      await deployment.start(t2);
      const url = deployment.getUrl(0);
      await callers.stream(url, sales, 5);
      const begun = restartInFirstStart(t2, deployment.engines);
      const answer = await callers.stream(url, sales, 20, { headers: ONCE });
      t2.equal(begun.length, 1, 'it ran once');
      t2.equal(answer.status, 502);
      t2.equal(answer.outcome, 'unknown');
    });
  }
});

// Guards against a second run of a call with a key whose engine has restarted after events were sent.
void tap.default.test('a call with a key runs once though its engine restarts', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1);
  await deployment.start(t);
  const begun = countBegun(deployment.engines);
  const headers = { ...ONCE, 'idempotency-key': 'log-1' };
  const first = await callers.stream(deployment.getUrl(0), sales, 20_000, {
    headers,
    onEvent: (count) => {
      if (count === 10) {
        deployment.engines.forEach((engine) => {
          engine.restart();
          engine.silence();
        });
      }
    },
  });
  t.equal(first.outcome, 'incomplete');
  t.ok(first.offsets.length >= 10, 'events were sent');
  const again = await callers.stream(deployment.getUrl(0), sales, 20_000, {
    headers,
    stopAfter: 5,
  });
  t.equal(begun.length, 1, 'it ran once');
  t.equal(again.status, 502);
  t.equal(again.outcome, 'unknown');
});

// Guards against a rule so strict that no start is tried elsewhere which an engine never began.
void tap.default.test('a start that its engine never began is tried elsewhere', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1, 2);
  await deployment.start(t);
  const url = deployment.getUrl(0);
  const engines = deployment.engines.slice(0, 2);
  await deployment.waitUntil('calls at both engines', async () => {
    await Promise.all(Array.from({ length: 4 }, () => callers.stream(url, sales, 50)));
    return engines.every(({ record }) => record.size > 0);
  });
  const begun = countBegun(engines);
  const starts: fakes.FakeEngine[] = [];
  engines.forEach((engine) => {
    const faults = new Proxy(engine.faults, {
      get: (target, name, receiver): unknown => {
        if (name !== 'resetAfterRead') {
          return Reflect.get(target, name, receiver);
        }
        starts.push(engine);
        return engine === starts[0];
      },
    });
    Object.assign(engine, { faults });
  });
  const { outcome } = await callers.stream(url, sales, 20, { headers: ONCE });
  t.ok(starts.length > 1, 'a start was reset');
  t.equal(new Set(starts).size, 2, 'the other engine got one');
  t.equal(outcome, 'complete');
  t.equal(begun.length, 1, 'it ran once');
});

// Guards against a claim of no run that rests on an answer of a process to which the start was not certainly sent.
void tap.default.test('without a proof a lost start may have run', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1, 2);
  await deployment.start(t);
  const url = deployment.getUrl(0);
  const cases: readonly { name: string; prepare: (engine: fakes.FakeEngine) => void }[] = [
    { name: 'it restarted before the start', prepare: (engine) => engine.restart() },
    {
      name: 'it names no process',
      prepare: ({ faults }) => {
        faults.namesProcess = false;
      },
    },
  ];
  for (const { name, prepare } of cases) {
    await callers.stream(url, sales, 5);
    deployment.engines.forEach((engine) => {
      prepare(engine);
      engine.faults.resetAfterRead = true;
    });
    const { outcome, status } = await callers.stream(url, sales, 20, { headers: ONCE });
    deployment.engines.forEach(({ faults }) => {
      faults.resetAfterRead = false;
    });
    t.equal(status, 502, name);
    t.equal(outcome, 'unknown', name);
  }
});

// Guards against a refusal of what may be generated anew, and against its later refusal as not run.
void tap.default.test('a repeatable lost start is generated anew', async (t) => {
  for (const enginesPerZone of [1, 2]) {
    await t.test(`engines in a zone: ${enginesPerZone}`, async (t2) => {
      const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1, enginesPerZone);
      await deployment.start(t2);
      const url = deployment.getUrl(0);
      await callers.stream(url, sales, 5);
      const begun = restartInFirstStart(t2, deployment.engines);
      const { outcome, status } = await callers.stream(url, sales, 20);
      t2.equal(begun.length, enginesPerZone);
      t2.equal(status, enginesPerZone === 1 ? 502 : 200);
      t2.not(outcome, 'not-run');
    });
  }
});
