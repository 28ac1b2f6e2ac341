import * as fakes from '@bramleyridge/fakes';
import * as openai from 'openai';
import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

void tap.default.test(
  'requests survive failures of connections, daemons and engines',
  async (t) => {
    const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
    await deployment.start(t);

    await t.test('the official client gets responses, streamed and in one piece', async (t2) => {
      const client = new openai.OpenAI({
        apiKey: sales,
        baseURL: `${deployment.getUrl(0)}/v1`,
        maxRetries: 0,
      });
      const body = { ...callers.createBody(25), stream: true } as never;
      const stream = await client.chat.completions.create(body);
      let text = '';
      let id = '';
      for await (const chunk of stream as unknown as AsyncIterable<openai.OpenAI.ChatCompletionChunk>) {
        id = chunk.id;
        text += chunk.choices[0]?.delta.content ?? '';
      }
      t2.equal(text, fakes.getText(id, 25), 'streamed');
      const whole = (await client.chat.completions.create({
        ...callers.createBody(25),
        stream: false,
      } as never)) as unknown as openai.OpenAI.ChatCompletion;
      t2.equal(whole.choices[0]?.message.content, fakes.getText(whole.id, 25), 'whole');
      t2.equal(whole.usage?.completion_tokens, 25);
      const models = await client.models.list();
      t2.equal(models.data[0]?.id, 'drafter');
      const refused = client.chat.completions.create({
        ...callers.createBody(5),
        model: 'nothing',
      } as never);
      await t2.rejects(refused, { status: 404, code: 'noModel' });
    });

    await t.test('a caller that lost its connection resumes at another daemon', async (t2) => {
      // The caller reads 20 of 120 events, loses its connection and resumes at another daemon of the
      // zone with Last-Event-ID. It receives every token once, and the first daemon does not cancel
      // the generation, because the second one has adopted it.
      const received = await callers.stream(deployment.getUrl(0), sales, 120, { stopAfter: 20 });
      t2.equal(await callers.resume(deployment.getUrl(3), sales, received), 200);
      t2.ok(callers.isWhole(received, 120));
      t2.equal(received.outcome, 'complete');
      t2.equal(deployment.countRuns(received.generation), 1);
    });

    await t.test(
      'a caller resumes at another daemon after the relaying one was killed',
      async (t2) => {
        const received = await callers.stream(deployment.getUrl(3), sales, 150, {
          onEvent: (count) => {
            if (count === 30) {
              deployment.kill(3);
            }
          },
        });
        t2.equal(await callers.resume(deployment.getUrl(0), sales, received), 200);
        t2.ok(callers.isWhole(received, 150));
        await deployment.restart(3);
        await deployment.waitUntil('the restarted daemon', () =>
          deployment.running[3]!.daemon.store.isReady(),
        );
      },
    );

    await t.test('a generation of another team cannot be resumed', async (t2) => {
      const received = await callers.stream(deployment.getUrl(0), sales, 60, { stopAfter: 5 });
      const status = await callers.resume(deployment.getUrl(0), deployments.TOKENS.night, received);
      t2.equal(status, 404);
    });

    await t.test('requests with one key through two daemons share one generation', async (t2) => {
      const headers = { 'idempotency-key': 'log-1' };
      const [first, second] = await Promise.all([
        callers.stream(deployment.getUrl(0), sales, 80, { headers }),
        callers.stream(deployment.getUrl(3), sales, 80, { headers }),
      ]);
      t2.equal(first.generation, second.generation);
      t2.ok(callers.isWhole(first, 80), 'the first is complete');
      t2.ok(callers.isWhole(second, 80), 'the second is complete');
      t2.equal(deployment.countRuns(first.generation), 1);
    });

    await t.test(
      'the generation of a disconnected caller is cancelled, others continue',
      async (t2) => {
        const gone = await callers.stream(deployment.getUrl(1), sales, 20_000, { stopAfter: 5 });
        const other = callers.stream(deployment.getUrl(1), sales, 300);
        const engine = deployment.engines[1]!;
        await deployment.waitUntil(
          'the cancellation',
          () => engine.record.get(gone.generation)?.ending === 'cancelled',
        );
        t2.ok(callers.isWhole(await other, 300), 'the other stream is complete');
      },
    );

    await t.test(
      'a request refused by the upstream is reported as not run and did not run',
      async (t2) => {
        const engine = deployment.engines[2]!;
        const before = engine.record.size;
        engine.faults.refuse = true;
        const res = await callers.stream(deployment.getUrl(2), sales, 10);
        engine.faults.refuse = false;
        t2.equal(res.outcome, 'not-run');
        t2.equal(engine.record.size, before, 'nothing ran');
      },
    );

    await t.test(
      'an engine that resets after reading is asked whether it ran the request',
      async (t2) => {
        // The start was read and the connection reset. The engine had not begun, and the cancel ensures
        // that it never will.
        const engine = deployment.engines[1]!;
        const before = engine.record.size;
        engine.faults.resetAfterRead = true;
        const res = await callers.stream(deployment.getUrl(1), sales, 10);
        engine.faults.resetAfterRead = false;
        t2.equal(res.outcome, 'not-run');
        t2.equal(engine.record.size, before, 'nothing ran');
      },
    );
  },
);
