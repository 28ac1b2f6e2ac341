import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

// Guards against a request that makes every engine exit, one after the other, and is then reported
// as not run. Nothing had been delivered, so a request for a whole response was retried on each
// remaining engine. The exits under one request were not counted, and the last attempt, which found
// no engine, was refused as not run: four of four engines had exited, and the status was 503.

/** Interval between two checks which engine runs the generation, in milliseconds. */
const ENGINE_CHECK_INTERVAL_MS = 5;

void tap.default.test(
  'a request that makes its engines exit is not retried on all of them',
  async (t) => {
    const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1, 4);
    await deployment.start(t);
    const url = deployment.getUrl(0);
    const ended = new Set<object>();
    const timer = setInterval(() => {
      deployment.engines
        .filter((engine) => engine.record.size > 0 && !ended.has(engine))
        .forEach((engine) => {
          ended.add(engine);
          engine.kill();
        });
    }, ENGINE_CHECK_INTERVAL_MS);
    t.teardown(() => clearInterval(timer));
    const res = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${deployments.TOKENS.sales}` },
      body: JSON.stringify(callers.createBody(400, false)),
    });
    await res.text();
    t.equal(res.status, 502);
    t.equal(ended.size, 2, 'engines that exited while running it');
  },
);
