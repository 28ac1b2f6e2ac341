import type * as http from 'node:http';

import type * as schemas from '@bramleyridge/schemas';

import * as engineModels from './engine-model.js';
import * as generations from './fake-generation.js';
import * as servers from './fake-server.js';
import * as texts from './token-text.js';

/** How often an engine says that a stream is alive, in milliseconds. */
const COMMENT_MS = 500;

/** How many changes of its prefix cache an engine remembers. */
const MAX_CACHE_EVENTS = 1_000;

/** How many tokens of a prompt a prefix stands for. */
const PREFIX_TOKENS = 128;

/** How a fake engine is made. */
export interface FakeEngineOptions {
  readonly upstreamId: string;
  readonly shape?: Partial<engineModels.EngineShape>;
  readonly models: readonly { model: string; version: string }[];
  readonly checksFencing: boolean;
  /** How much later than it was true a load report is given, in milliseconds. */
  readonly reportLagMs: number;
  /** Time passes this many times faster than the model says. */
  readonly speed: number;
}

/** Faults that a test or a person can ask for. */
export interface EngineFaults {
  refuse: boolean;
  resetAfterRead: boolean;
  /** Streams that are open now fall silent; new connections work. */
  silentBefore: number;
  leaving: boolean;
  /** Every event is sent twice. */
  doubles: boolean;
  /** Bytes are sent in pieces of this size, 0 for whole events. */
  pieceBytes: number;
  /** Changes of the prefix cache are counted and not told. */
  losesCacheEvents: boolean;
  /** Ends like a killed process. */
  die: boolean;
  /** Leaves now and ends after so many milliseconds, 0 for never. */
  reclaimAfterMs: number;
}

/** A small stand-in of a model engine behind its published protocol. */
export class FakeEngine {
  public readonly model: engineModels.EngineModel;
  public readonly faults: EngineFaults = {
    refuse: false,
    resetAfterRead: false,
    silentBefore: 0,
    leaving: false,
    doubles: false,
    pieceBytes: 0,
    losesCacheEvents: false,
    die: false,
    reclaimAfterMs: 0,
  };
  /** Everything that was ever begun here, by generation. */
  public readonly record = new Map<string, generations.FakeGeneration>();
  /** How many streams were opened here. */
  public streams = 0;
  public readonly orders: { order: schemas.Order; status: number }[] = [];
  private readonly tombstones = new Set<string>();
  private readonly server: servers.FakeServer;
  private models: { model: string; version: string }[];
  private fence: schemas.Fencing = { term: 0, index: 0 };
  private reports: schemas.LoadReport[] = [];
  private cacheEvents: { prefix: string; isStored: boolean }[] = [];
  private cacheFirst = 0;
  private isStepping = false;
  private isClosed = false;
  private readonly reporter: NodeJS.Timeout;

  public constructor(private readonly options: FakeEngineOptions) {
    this.model = new engineModels.EngineModel(options.shape);
    this.models = [...options.models];
    this.model.onCacheChange = (prefix, isStored) => this.noteCache(prefix, isStored);
    this.server = new servers.FakeServer(this.createRoutes());
    this.reporter = setInterval(() => this.keepReport(), 50);
  }

  /** Starts to listen and gives the address. */
  public async listen(port = 0): Promise<string> {
    return this.server.listen(port);
  }

  /** Ends at once, as a killed process does. */
  public kill(): void {
    this.isClosed = true;
    clearInterval(this.reporter);
    this.server.kill();
  }

  /** Lets every stream that is open now fall silent. */
  public silence(): void {
    this.faults.silentBefore = this.streams;
  }

  private createRoutes(): servers.Routes {
    return {
      'POST /v1/completions': (req, res) => this.complete(req, res, 'text_completion'),
      'POST /v1/chat/completions': (req, res) => this.complete(req, res, 'chat.completion'),
      'GET /v1/generations/:id/events': (req, res) => this.attach(req, res),
      'DELETE /v1/generations/:id': (req, res) => this.cancel(req, res),
      'POST /orders': (req, res) => this.takeOrder(req, res),
      'GET /load': (req, res) => servers.sendJson(res, 200, this.getReport(req)),
      'GET /record': (_req, res) => servers.sendJson(res, 200, this.listRecord()),
      'POST /faults': (req, res) => {
        Object.assign(this.faults, servers.parseBody(req));
        servers.sendJson(res, 200, this.faults);
        this.applyFaults();
      },
    };
  }

  private complete(
    req: servers.FakeRequest,
    res: http.ServerResponse,
    object: generations.StreamObject,
  ): void {
    const id = String(req.headers['x-request-id']);
    const body = servers.parseBody(req) as generations.CompletionBody;
    const isServed = this.models.some((item) => `${item.model}:${item.version}` === body.model);
    if (this.faults.resetAfterRead) {
      req.socket.destroy();
      return;
    }
    if (this.faults.refuse || !isServed || this.faults.leaving) {
      res.setHeader('x-not-run', '1');
      servers.sendJson(res, 503, { error: { message: 'not run', code: 'not_run' } });
      return;
    }
    if (this.record.has(id) || this.tombstones.has(id)) {
      servers.sendJson(res, 409, { error: { message: 'known or cancelled', code: 'conflict' } });
      return;
    }
    const generation = this.begin(id, body, object);
    this.stream(generation, res, 0);
  }

  private begin(
    id: string,
    body: generations.CompletionBody,
    object: generations.StreamObject,
  ): generations.FakeGeneration {
    const prompt = generations.getPrompt(body);
    const most = body.max_tokens ?? 4_096;
    const outputTokens = Math.min(
      body.fake_output_tokens ?? texts.getOutputTokens(prompt, most),
      most,
    );
    const generation = new generations.FakeGeneration(id, body.model, object, outputTokens);
    this.record.set(id, generation);
    this.model.submit({
      id,
      promptTokens: Math.max(1, Math.ceil(prompt.length / 4)),
      outputTokens,
      priority: body.priority ?? 0,
      prefix: body.prefix_id ?? '',
      prefixTokens: PREFIX_TOKENS,
      onToken: () => generation.produce(),
      onEnd: () => generation.end('stop'),
    });
    this.startStepping();
    return generation;
  }

  private attach(req: servers.FakeRequest, res: http.ServerResponse): void {
    const generation = this.record.get(req.params.id ?? '');
    if (generation === undefined) {
      servers.sendJson(res, 404, { error: { message: 'no such generation', code: 'unknown' } });
      return;
    }
    const last = String(req.headers['last-event-id'] ?? '')
      .split(':')
      .at(-1);
    this.stream(generation, res, Number(last ?? -1) + 1);
  }

  private cancel(req: servers.FakeRequest, res: http.ServerResponse): void {
    const id = req.params.id ?? '';
    const generation = this.record.get(id);
    if (generation === undefined) {
      // A start that is still on its way must find that it was cancelled.
      this.tombstones.add(id);
      servers.sendJson(res, 200, { state: 'unknown', tokens: 0 });
      return;
    }
    const wasRunning = this.model.cancel(id);
    generation.end('cancelled');
    servers.sendJson(res, 200, {
      state: wasRunning ? 'cancelled' : 'ended',
      tokens: generation.tokens,
    });
  }

  private stream(
    generation: generations.FakeGeneration,
    res: http.ServerResponse,
    from: number,
  ): void {
    this.streams += 1;
    const connection = this.streams;
    const isSilent = () => connection <= this.faults.silentBefore;
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    res.flushHeaders();
    const write = (text: string) => {
      if (isSilent() || this.isClosed) {
        return;
      }
      this.writePieces(res, this.faults.doubles ? text + text : text);
    };
    const comments = setInterval(() => write(': alive\n\n'), COMMENT_MS);
    const stop = generation.follow(from, write, () => {
      clearInterval(comments);
      if (!isSilent()) {
        res.end();
      }
    });
    res.on('close', () => {
      clearInterval(comments);
      stop();
    });
  }

  private writePieces(res: http.ServerResponse, text: string): void {
    const { pieceBytes } = this.faults;
    const bytes = Buffer.from(text);
    if (pieceBytes === 0) {
      res.write(bytes);
      return;
    }
    for (let at = 0; at < bytes.length; at += pieceBytes) {
      res.write(bytes.subarray(at, at + pieceBytes));
    }
  }

  private takeOrder(req: servers.FakeRequest, res: http.ServerResponse): void {
    const order = servers.parseBody(req) as schemas.Order;
    const { fencing } = order;
    const isOld =
      fencing.term < this.fence.term ||
      (fencing.term === this.fence.term && fencing.index < this.fence.index);
    const status = this.options.checksFencing && isOld ? 409 : 200;
    this.orders.push({ order, status });
    if (status === 200) {
      this.fence = isOld ? this.fence : fencing;
      this.models = this.models.filter(
        (item) => item.model !== order.model || item.version !== order.version,
      );
      if (order.action === 'load') {
        this.models.push({ model: order.model, version: order.version });
      }
    }
    servers.sendJson(res, status, { status });
  }

  private startStepping(): void {
    if (!this.isStepping) {
      this.isStepping = true;
      void this.runSteps();
    }
  }

  private async runSteps(): Promise<void> {
    let dueAt = performance.now();
    while (!this.model.isIdle() && !this.isClosed) {
      const step = this.model.step();
      dueAt = Math.max(dueAt + step.durationMs / this.options.speed, performance.now() - 20);
      const restMs = dueAt - performance.now();
      if (restMs >= 1) {
        await new Promise((resolve) => {
          setTimeout(resolve, restMs);
        });
      }
      step.finish();
    }
    this.isStepping = false;
    if (!this.model.isIdle() && !this.isClosed) {
      this.startStepping();
    }
  }

  private keepReport(): void {
    const now = performance.now();
    this.reports.push({
      at: now,
      ageMs: 0,
      tokensTotal: this.model.shape.tokensTotal,
      tokensUsed: this.model.getUsed(),
      ...this.model.getCounts(),
      preemptions: this.model.preemptions,
      state: this.faults.leaving ? 'leaving' : 'live',
      models: this.models,
    });
    const oldest = now - this.options.reportLagMs;
    while (this.reports.length > 1 && this.reports[1]!.at <= oldest) {
      this.reports.shift();
    }
  }

  private getReport(req: servers.FakeRequest): schemas.LoadReport {
    if (this.reports.length === 0) {
      this.keepReport();
    }
    const report = this.reports[0]!;
    const since = Math.max(Number(req.query.cacheSince ?? 0), this.cacheFirst);
    const events = this.cacheEvents.slice(since - this.cacheFirst);
    const ageMs = performance.now() - report.at;
    return { ...report, ageMs, cache: { first: since, events } };
  }

  private noteCache(prefix: string, isStored: boolean): void {
    this.cacheEvents.push({ prefix, isStored });
    const lost = this.faults.losesCacheEvents
      ? this.cacheEvents.length
      : this.cacheEvents.length - MAX_CACHE_EVENTS;
    if (lost > 0) {
      this.cacheEvents = this.cacheEvents.slice(lost);
      this.cacheFirst += lost;
    }
  }

  private applyFaults(): void {
    if (this.faults.die) {
      this.kill();
    }
    if (this.faults.reclaimAfterMs > 0) {
      this.faults.leaving = true;
      setTimeout(() => this.kill(), this.faults.reclaimAfterMs);
    }
  }

  private listRecord(): object[] {
    return [...this.record.values()].map((item) => ({
      id: item.id,
      tokens: item.tokens,
      outputTokens: item.outputTokens,
      ending: item.ending,
    }));
  }
}
