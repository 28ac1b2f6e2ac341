import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

// Seen: a caller that asked for a whole answer is told that it has not run, after four engines have ended under it.
// How: nothing was delivered, so it was generated anew elsewhere, on one engine after the other; when none was left the last
// try was refused as not run. Cause: what one generation did to its engines was not counted, and the refusal spoke of the
// last try only. Proof: with all engines ended by what they run, four of four ended, and the status was 503.

/** How often the test looks which engine runs the generation, in milliseconds. */
const ENGINE_CHECK_INTERVAL_MS = 5;

void tap.default.test(
  'a generation that ends its engines is not made anew on all of them',
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
    t.equal(ended.size, 2, 'engines that ended under it');
  },
);
