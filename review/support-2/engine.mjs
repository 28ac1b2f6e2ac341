/** Stand-ins of model runners that keep the memory of each other's runs, by the users' pages. */
import * as harness from './harness.mjs';
import * as runners from './runner.mjs';

const EVENT_MS = 30;
const COPY_EVERY_MS = 250;
const HEADERS = { backup: 'x-bramleyridge-kv-backup', from: 'kv-from', last: 'last-event-id' };

/** One run of a request at one engine; `endedAt` is set when the engine no longer works on it. */
class Run {
  startedAt = performance.now();
  endedAt = undefined;
  events = 0;
  isClosed = false;

  constructor(engine, requestId, from) {
    Object.assign(this, { engine, requestId, from });
  }
}

/** All engines of a service, the runs that they worked on, and the trouble that the case plans. */
export class EngineFleet {
  engines = [];
  runs = [];

  constructor(testCase, service, { events, trouble }) {
    Object.assign(this, { testCase, service, events, trouble });
  }

  async start(deployment, count) {
    for (let i = 1; i <= count; i += 1) {
      const engine = new Engine(this, `i-llm-${i}`, 'abc'[i % 3]);
      await engine.start(deployment, this.testCase.ip(100 + i));
      this.engines.push(engine);
    }
  }

  findAt(address) {
    return this.engines.find((engine) => engine.address === address);
  }

  listRuns(requestId) {
    return this.runs.filter((run) => run.requestId === requestId);
  }
}

class Engine extends runners.Runner {
  /** Events of the runs of which this engine keeps a copy. */
  copies = new Map();
  hasRoom = true;

  constructor(fleet, identifier, zone) {
    super(fleet.testCase, {
      identifier,
      service: fleet.service,
      slots: 24,
      zone,
      work: (request) => this.generate(request),
      orders: {
        // No run is migrated in these cases: no engine leaves.
        'POST /v1/kv-move': (_req, res) => {
          res.writeHead(404, { 'content-length': 0 });
          res.end();
        },
      },
    });
    this.fleet = fleet;
  }

  /** The engine's process ends: its connections are reset, and its address refuses new ones. */
  crash() {
    this.testCase.note(`${this.identifier} crashes`);
    this.hasCrashed = true;
    this.listener.close();
    this.fleet.runs
      .filter((run) => run.engine === this && run.endedAt === undefined)
      .forEach((run) => this.end(run, 'crashed'));
  }

  end(run, how) {
    if (run.endedAt === undefined) {
      run.endedAt = performance.now();
      this.testCase.note(
        `${this.identifier}: its run of ${run.requestId} ends after ${run.events} events, ${how}`,
      );
    }
  }

  /** Sends the memory of a run to its backup engine several times a second, while that has room. */
  async keepCopy(run, backup) {
    while (run.endedAt === undefined) {
      await harness.sleep(COPY_EVERY_MS);
      if (run.endedAt === undefined && backup.hasRoom && run.events > 0) {
        backup.copies.set(run.requestId, run.events);
      }
    }
  }

  async generate({ req, res, requestId, headers }) {
    const { fleet } = this;
    const from = req.headers[HEADERS.from];
    const backup = fleet.findAt(req.headers[HEADERS.backup]);
    const plan = fleet.trouble({ engine: this, requestId, from, backup }) ?? {};
    // An engine without the copy refuses; one that hangs doesn't answer, and works.
    if (from !== undefined && !this.copies.has(requestId) && plan.hangs !== true) {
      this.testCase.note(`${this.identifier}: no copy of ${requestId}, refused`);
      res.writeHead(503, { ...headers, 'x-bramleyridge-not-executed': '1', 'content-length': 0 });
      res.end();
      return;
    }
    const run = new Run(this, requestId, from);
    run.hadCopy = this.copies.has(requestId);
    fleet.runs.push(run);
    res.once('close', () => {
      run.isClosed = true;
    });
    if (backup !== undefined) {
      this.testCase.note(`${requestId}: ${backup.identifier} is to keep a copy`);
      void this.keepCopy(run, backup);
    }
    run.events = from === undefined ? 0 : Number(req.headers[HEADERS.last] ?? 0);
    if (plan.hangs === true) {
      this.testCase.note(`${this.identifier} hangs on ${requestId}, copy ${run.hadCopy}`);
      await new Promise((resolve) => {
        res.once('close', resolve);
      });
      this.end(run, 'hung until its connection closed');
      return;
    }
    res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    while (run.events < fleet.events && run.endedAt === undefined) {
      await harness.sleep(EVENT_MS);
      if (run.isClosed && plan.goesOn !== true) {
        this.end(run, 'dropped as its connection closed');
        return;
      }
      run.events += 1;
      if (plan.mutesAfter === run.events) {
        this.testCase.note(`${this.identifier} falls mute after event ${run.events}, and works on`);
      }
      if (plan.mutesAfter === undefined || run.events <= plan.mutesAfter) {
        res.write(`id: ${run.events}\ndata: ${requestId} part ${run.events}\n\n`);
      }
      if (plan.crashesAfter === run.events) {
        await harness.sleep(10);
        this.crash();
        return;
      }
    }
    if (run.endedAt === undefined) {
      this.end(run, 'complete');
      res.end();
    }
  }
}

/** The service of model runners as a desired state declares it. */
export const ENGINE_SERVICE = {
  name: 'llm',
  healthCheckPath: '/health',
  connectionLimit: 232,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 24,
    kvCacheTokens: 34_267,
    kvTokenBytes: 262_144,
    linkMbps: 38_000,
    moves: true,
    backups: true,
    stride: 4,
    most: 12,
    pinMs: 4_000,
    holdMs: 2_000,
    handleS: 5,
    models: [{ name: 'm' }],
  },
};

/** The route of long generations, which may run once. */
export const DRAFT_ROUTE = harness.createRoute({
  name: 'r-draft',
  pathPrefix: '/draft/',
  kind: 'streaming',
  service: 'llm',
  timeoutMs: 39_000,
  targetLatencyMs: 1_800,
  gapTargetMs: 180,
  stickySessions: true,
});

/** Sends one long generation. */
export function draft(entry, n) {
  return runners.consume({
    caller: entry.caller,
    target: '/draft/x',
    method: 'POST',
    deadlineMs: 39_000,
    body: `prompt ${n} `.repeat(200),
    headers: {
      'x-bramleyridge-model': 'm',
      'x-bramleyridge-token-count': '3079,1000',
      'x-bramleyridge-length-hint': '900',
      'x-bramleyridge-prompt-prefix': `5c1e07a2:47,91bd3f0${n}:32`,
    },
  });
}

/** Starts three core hosts, an entry host and the engines, and declares the route. */
export async function prepare(deployment, fleet, count) {
  await deployment.prepare();
  await fleet.start(deployment, count);
  [1, 2, 3].forEach((n) => deployment.startCore(n));
  const entry = deployment.startEntry(1);
  const document = harness.createDocument(7, [DRAFT_ROUTE], [ENGINE_SERVICE]);
  if ((await deployment.put(document, { timeoutMs: 15_000 })) === undefined) {
    throw new Error('the desired state was not acknowledged');
  }
  await deployment.awaitReady(entry);
  await harness.sleep(4_000);
  return entry;
}
