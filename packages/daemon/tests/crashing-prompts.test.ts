import * as tap from 'tap';

import * as deployments from './support/small-deployment.js';

// Guards against prompts with one bad message in common, of which no two are alike: each crashes the engine that begins
// to answer it, at any daemon. Without a record of what prompts share, all engines of the zone exit.

/** Number of engines of the zone. */
const ENGINES = 14;

/** Maximum number of engines that may exit: five until the part is known everywhere, and the trials of the part. */
const MAX_EXITS = 7;

/** Pause between two rounds of requests, in milliseconds; bad prompts come in every second round. */
const ROUND_MS = 150;

const LOAD_MS = 9_000;

/** Time at the end of the load in which good prompts have to be served, in milliseconds. */
const SERVED_MS = 4_000;

const MIN_SERVED_SHARE = 0.9;

interface Result {
  readonly at: number;
  readonly status: number;
  readonly code: string;
}

async function complete(url: string, system: string, isStream: boolean): Promise<Result> {
  const at = Date.now();
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${deployments.TOKENS.sales}`, 'x-repeatable': 'no' },
    body: JSON.stringify({
      model: 'drafter',
      stream: isStream,
      messages: [
        { role: 'system', content: system },
        { role: 'user', content: `Draft log ${at}-${Math.random()}.` },
      ],
      max_tokens: 8,
      fake_output_tokens: 8,
    }),
  });
  const text = await res.text();
  return { at, status: res.status, code: text.includes('not sent') ? 'barred' : '' };
}

[false, true].forEach((isStream) => {
  const kind = isStream ? 'streamed' : 'whole';
  void tap.default.test(`a bad part of prompts is stopped: ${kind} answers`, async (t) => {
    const deployment = new deployments.SmallDeployment(['a'], 3, ENGINES, { cuttable: [] });
    await deployment.start(t);
    const { engines } = deployment;
    // A zone whose engines load their models one by one sends all that waited for the first ones at once.
    await deployment.waitUntil('engines that have loaded the model', () =>
      engines.every(({ orders }) => orders.some(({ status }) => status === 200)),
    );
    engines.forEach((engine) => {
      engine.crashesOn = (prompt) => prompt.includes('bad message');
    });
    const good: Promise<Result>[] = [];
    const bad: Promise<Result>[] = [];
    const send = (all: Promise<Result>[], system: string, round: number) => {
      const url = deployment.getUrl(round % deployment.running.length);
      all.push(complete(url, system, isStream).catch(() => ({ at: 0, status: 0, code: '' })));
    };
    const endsAt = Date.now() + LOAD_MS;
    for (let round = 0; Date.now() < endsAt; round += 1) {
      send(good, 'You are a good assistant.', round);
      if (round % 2 === 0) {
        send(bad, 'You are a bad message.', round / 2);
      }
      await deployments.pause(ROUND_MS);
    }
    const exits = engines.filter((engine) => engine.isClosed).length;
    t.ok(exits <= MAX_EXITS, `${exits} engines exited`);
    const late = (await Promise.all(good)).filter(({ at }) => at > endsAt - SERVED_MS);
    const served = late.filter(({ status }) => status === 200).length;
    t.ok(served >= late.length * MIN_SERVED_SHARE, `${served} of ${late.length} good ones served`);
    const results = await Promise.all(bad);
    t.ok(
      results.slice(-5).every(({ code, status }) => status === 503 && code === 'barred'),
      'the last bad ones are refused as not run',
    );
  });
});
