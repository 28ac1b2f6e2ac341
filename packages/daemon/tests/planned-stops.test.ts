import * as http from 'node:http';
import * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

/** Positions of the daemon that stops and of the other one of its zone. */
const STOPPING = 3;
const OTHER = 0;

/** Time within which a stop must end once the calls that run have ended, in milliseconds. */
const END_MS = 4_000;

/** Time limit of a call to a service, in milliseconds. */
const ANSWER_MS = 25_000;

/** Time that long calls run, in milliseconds; longer than a daemon once waited for the connections it relays. */
const LONG_MS = 17_000;

/** Time for a stop in the test of its limit, in milliseconds. */
const STOP_MS = 6_000;

/** Tokens of a generation that takes longer. */
const LONG_TOKENS = 5_000;

interface Answer {
  /** 0 without a whole answer. */
  readonly status: number;
  readonly outcome: string;
  readonly retryAfter: string | undefined;
}

/** Calls that may not be repeated, to a service. */
class Confirms {
  public readonly made = new Map<string, Promise<Answer>>();

  public constructor(
    private readonly deployment: deployments.SmallDeployment,
    private readonly prefix: string,
  ) {}

  /** Makes a call whose answer takes `runMs`. */
  public call(at: number, runMs: number, agent: http.Agent | false = false): Promise<Answer> {
    this.deployment.services[0]!.faults.answerDelayMs = runMs;
    const booking = `${this.prefix}-${this.made.size}`;
    const answer = new Promise<Answer>((resolve) => {
      const body = JSON.stringify({ booking });
      const req = this.open(at, body.length, agent, resolve);
      req.end(body);
    });
    this.made.set(booking, answer);
    return answer;
  }

  /** Makes a call of which the end of its body is sent only when `isDue` resolves. */
  public callSlowly(at: number, isDue: Promise<unknown>): Promise<Answer> {
    const booking = `${this.prefix}-${this.made.size}`;
    const body = JSON.stringify({ booking });
    const answer = new Promise<Answer>((resolve) => {
      const req = this.open(at, body.length, false, resolve);
      req.write(body.slice(0, 4));
      void isDue.then(() => req.end(body.slice(4)));
    });
    this.made.set(booking, answer);
    return answer;
  }

  /** Makes a call of which the end of its head is sent only when `isDue` resolves. */
  public callWithSlowHead(at: number, isDue: Promise<unknown>): Promise<Answer> {
    const { cfg } = this.deployment.running[at]!;
    const booking = `${this.prefix}-${this.made.size}`;
    const body = JSON.stringify({ booking });
    const answer = new Promise<Answer>((resolve) => {
      const socket = net.connect(cfg.callerPort, cfg.host);
      socket.write(
        `POST /services/booking/confirms HTTP/1.1\r\nAuthorization: Bearer ${sales}\r\n`,
      );
      void isDue.then(() => {
        socket.write(
          `Host: x\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
        );
      });
      let text = '';
      socket.on('data', (part) => {
        text += part.toString('latin1');
      });
      socket.on('error', () => {});
      socket.on('close', () =>
        resolve({
          status: Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0),
          outcome: /bramleyridge-outcome: (\S+)/i.exec(text)?.[1] ?? '',
          retryAfter: /retry-after: (\S+)/i.exec(text)?.[1],
        }),
      );
    });
    this.made.set(booking, answer);
    return answer;
  }

  /** Lists the calls that ran twice, or ran without an answer, or got an answer that is neither theirs nor a refusal. */
  public async listFaults(): Promise<string[]> {
    const { confirms } = this.deployment.services[0]!;
    const faults: string[] = [];
    for (const [booking, made] of this.made) {
      const { status, outcome, retryAfter } = await made;
      const runs = confirms.get(booking) ?? 0;
      const isServed = status === 200 && runs === 1;
      const isRefused = status === 503 && outcome === 'not-run' && retryAfter !== undefined;
      // A connection that ends before the call is passed on.
      const isClosed = status === 0;
      if (!isServed && !((isRefused || isClosed) && runs === 0)) {
        faults.push(`${booking}: ${runs} runs, ${status} ${outcome}`);
      }
    }
    return faults;
  }

  /** Counts the answers with a status. */
  public async count(status: number): Promise<number> {
    const answers = await Promise.all(this.made.values());
    return answers.filter((answer) => answer.status === status).length;
  }

  private open(
    at: number,
    length: number,
    agent: http.Agent | false,
    resolve: (answer: Answer) => void,
  ): http.ClientRequest {
    const { cfg } = this.deployment.running[at]!;
    const req = http.request({
      host: cfg.host,
      port: cfg.callerPort,
      path: '/services/booking/confirms',
      method: 'POST',
      headers: { authorization: `Bearer ${sales}`, 'content-length': length },
      agent,
    });
    req.on('response', (res) => {
      res.resume();
      res.on('close', () =>
        resolve({
          status: res.complete ? (res.statusCode ?? 0) : 0,
          outcome: String(res.headers[schemas.OUTCOME_HEADER] ?? ''),
          retryAfter: res.headers['retry-after'],
        }),
      );
      res.on('error', () => {});
    });
    req.on('error', () => resolve({ status: 0, outcome: '', retryAfter: undefined }));
    return req;
  }
}

async function startDeployment(
  t: tap.Test,
  limits: Partial<schemas.DaemonConfig['limits']> = {},
): Promise<deployments.SmallDeployment> {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2, 1, {
    limits: { queueMs: ANSWER_MS, bodyTimeoutMs: 5_000, ...limits },
  });
  await deployment.start(t);
  return deployment;
}

/** Requests a long generation without a stream. */
async function complete(url: string): Promise<Answer> {
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${sales}` },
    body: JSON.stringify(callers.createBody(LONG_TOKENS, false)),
  }).catch(() => undefined);
  await res?.text();
  return {
    status: res?.status ?? 0,
    outcome: res?.headers.get(schemas.OUTCOME_HEADER) ?? '',
    retryAfter: res?.headers.get('retry-after') ?? undefined,
  };
}

/** Stops the daemon as its program does, which exits then; resolves to how long it took. */
async function stop(deployment: deployments.SmallDeployment): Promise<number> {
  const item = deployment.running[STOPPING]!;
  const startedAt = performance.now();
  item.isUp = false;
  await item.daemon.stop();
  item.daemon.kill();
  return performance.now() - startedAt;
}

/** Cuts all others off, and waits until connections of the other one go through the daemon that is to stop. */
async function relay(deployment: deployments.SmallDeployment): Promise<void> {
  const { daemon } = deployment.running[STOPPING]!;
  const { daemonId } = deployment.running[STOPPING]!.cfg;
  deployment.dialers.forEach((dialer, id) => {
    if (id !== daemonId) {
      dialer.cut('refused');
    }
  });
  const warmUp = new Confirms(deployment, 'warm-up');
  await deployment.waitUntil('relayed', async () => {
    await Promise.all(Array.from({ length: 8 }, () => warmUp.call(OTHER, 20)));
    return daemon.countRelayed() > 0;
  });
}

// Guards against a planned stop that callers keep from ending, until what they sent last is cut with the process.
void tap.default.test(
  'calls that come throughout a planned stop don’t keep it from ending',
  async (t) => {
    const deployment = await startDeployment(t);
    const confirms = new Confirms(deployment, 'throughout');
    const agent = new http.Agent({ keepAlive: true, maxSockets: 4 });
    t.teardown(() => agent.destroy());
    let isOver = false;
    const load = (async () => {
      while (!isOver) {
        void confirms.call(STOPPING, 300, agent);
        void confirms.call(STOPPING, 300);
        await deployments.pause(50);
      }
    })();
    await deployments.pause(500);
    const stopped = stop(deployment);
    const first = await Promise.race([stopped, deployments.pause(END_MS).then(() => 'late')]);
    isOver = true;
    await load;
    await stopped;
    t.not(first, 'late', 'it ends');
    t.same(await confirms.listFaults(), [], 'each call is answered, or was not passed on');
    t.ok((await confirms.count(503)) > 0, 'late calls are refused');
  },
);

// Guards against calls that are accepted while the stop waits for the connections it relays, and cut at its end.
void tap.default.test(
  'calls that come while the calls of another daemon end are not cut',
  async (t) => {
    const deployment = await startDeployment(t);
    await relay(deployment);
    const confirms = new Confirms(deployment, 'late');
    for (let i = 0; i < 4; i += 1) {
      void confirms.call(OTHER, 3_000);
    }
    await deployments.pause(200);
    const stopped = stop(deployment);
    await deployments.pause(1_800);
    const late = [confirms.call(STOPPING, 5_000), confirms.call(STOPPING, 5_000)];
    const resumed = await fetch(`${deployment.getUrl(STOPPING)}/v1/generations/g/events`);
    t.equal(resumed.status, 503, 'a resume is refused');
    t.equal(resumed.headers.get(schemas.OUTCOME_HEADER), 'unknown', 'its generation may run');
    t.same(
      (await Promise.all(late)).map(({ status }) => status),
      [503, 503],
      'refused as not run',
    );
    await stopped;
    t.same(await confirms.listFaults(), []);
    t.equal(await confirms.count(200), 4, 'those of the other daemon are served');
  },
);

// Guards against calls of another daemon that are cut since the stop waits less for them than they may last.
void tap.default.test('long calls through a daemon that stops are not cut', async (t) => {
  const deployment = await startDeployment(t);
  await relay(deployment);
  const confirms = new Confirms(deployment, 'long');
  for (let i = 0; i < 4; i += 1) {
    void confirms.call(OTHER, LONG_MS);
  }
  await deployments.pause(200);
  t.ok(deployment.running[STOPPING]!.daemon.countRelayed() > 0, 'they are relayed');
  const tookMs = await stop(deployment);
  t.ok(tookMs < LONG_MS + END_MS, `it waits for them only: ${Math.round(tookMs)} ms`);
  t.same(await confirms.listFaults(), []);
  t.equal(await confirms.count(200), 4);
});

// Guards against calls passed on by a daemon that has ended its connections.
void tap.default.test('slow calls that end while the daemon closes are not cut', async (t) => {
  const deployment = await startDeployment(t);
  const bodies = new Confirms(deployment, 'body');
  const heads = new Confirms(deployment, 'head');
  const early = Array.from({ length: 30 }, (_, i) => deployments.pause(100 + i * 100));
  early.forEach((isDue) => {
    void heads.callWithSlowHead(STOPPING, isDue);
  });
  const stopped = stop(deployment);
  for (let i = 0; i < 20; i += 1) {
    void bodies.callSlowly(STOPPING, deployments.pause(500));
    await deployments.pause(100);
  }
  await stopped;
  t.same([...(await bodies.listFaults()), ...(await heads.listFaults())], []);
});

// Guards against calls that are cut with the process since they last longer than the stop may.
void tap.default.test('a stop with a limit answers every call', async (t) => {
  const deployment = await startDeployment(t, { stopMs: STOP_MS, queueMs: 60_000 });
  const url = deployment.getUrl(STOPPING);
  const confirms = new Confirms(deployment, 'limited');
  const stream = callers.stream(url, sales, LONG_TOKENS);
  const whole = Array.from({ length: 4 }, () => complete(url));
  const { record } = deployment.engines[0]!;
  await deployment.waitUntil('running', () => record.size === 5);
  // Without another engine, generations wait.
  deployment.platform.set(
    deployment.upstreams.map((item) =>
      item.upstreamId === 'engine-a-1' ? { ...item, state: 'leaving' } : item,
    ),
  );
  await deployment.waitUntil('leaving', () =>
    [STOPPING, OTHER].every((at) =>
      deployment.running[at]!.daemon.view.getDirectory().upstreams.some(
        (item) => item.upstreamId === 'engine-a-1' && item.state === 'leaving',
      ),
    ),
  );
  await deployments.pause(300);
  const queued = Array.from({ length: 4 }, () => complete(url));
  const running = confirms.call(STOPPING, 1_500);
  const slow = confirms.callSlowly(STOPPING, deployments.pause(3_500));
  await deployments.pause(200);
  const first = Promise.race([
    Promise.race(whole).then(() => 'what runs'),
    Promise.all([slow, ...queued]).then(() => 'what waits'),
  ]);
  const tookMs = await stop(deployment);
  t.equal(await first, 'what waits', 'refusals don’t wait for the end');
  t.ok(tookMs < STOP_MS + 500, `it ends in time: ${Math.round(tookMs)} ms`);
  t.equal((await running).status, 200, 'a call to a service that runs is served');
  t.equal((await slow).status, 503, 'a body that ends late is refused');
  t.same(await confirms.listFaults(), []);

  const received = await stream;
  t.equal(received.outcome, 'incomplete', 'a stream states that it is not complete');
  t.equal(await callers.resume(deployment.getUrl(OTHER), sales, received), 200);
  t.ok(callers.isWhole(received, LONG_TOKENS), 'and goes on at another daemon');

  const unknown = { status: 504, outcome: 'unknown', retryAfter: undefined };
  t.same(
    await Promise.all(whole),
    Array.from(whole, () => unknown),
    'those without a stream too',
  );
  const refused = { status: 503, outcome: 'not-run', retryAfter: '1' };
  t.same(
    await Promise.all(queued),
    Array.from(queued, () => refused),
    'queued ones are refused',
  );
  t.equal(record.size, 5, 'and did not run');
});

// Guards against calls that wait for another engine after one refused them, and are answered as unknown at the end of a stop.
void tap.default.test('calls that an engine refused wait when their daemon stops', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2, 2, {
    limits: { queueMs: 60_000, bodyTimeoutMs: 5_000, stopMs: STOP_MS },
  });
  await deployment.start(t);
  const url = deployment.getUrl(STOPPING);
  deployment.platform.set(
    deployment.upstreams.map((item) =>
      item.upstreamId === 'engine-a-2' ? { ...item, state: 'leaving' } : item,
    ),
  );
  await deployment.waitUntil('leaving', () =>
    [STOPPING, OTHER].every((at) =>
      deployment.running[at]!.daemon.view.getDirectory().upstreams.some(
        (item) => item.upstreamId === 'engine-a-2' && item.state === 'leaving',
      ),
    ),
  );
  deployment.engines[0]!.faults.refuse = true;
  const answered = await waitElsewhere(url);
  const stoppedAt = performance.now();
  const stopped = stop(deployment);
  const refused = { status: 503, outcome: 'not-run', retryAfter: '1' };
  t.same(await answered(), refused, 'it is refused');
  const tookMs = performance.now() - stoppedAt;
  t.ok(tookMs < STOP_MS / 2, `while it may still be served elsewhere: ${Math.round(tookMs)} ms`);
  await stopped;
});

/** Makes calls until one waits for another engine; a call may also be refused at once. */
async function waitElsewhere(url: string): Promise<() => Promise<Answer>> {
  for (let count = 0; count < 20; count += 1) {
    const answered = complete(url);
    const first = await Promise.race([answered, deployments.pause(1_000)]);
    if (first === undefined) {
      return () => answered;
    }
  }
  throw new Error('no call waits');
}
