import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as schemas from '@bramleyridge/schemas';

import * as engineModels from './engine-model.js';
import * as generations from './fake-generation.js';
import * as servers from './fake-server.js';
import * as texts from './token-text.js';

/** Interval between keep-alive comments on a stream. */
const KEEP_ALIVE_INTERVAL_MS = 500;

/** Maximum number of prefix-cache changes that an engine keeps for its load reports. */
const MAX_CACHE_EVENTS = 1_000;

/** Length of every prefix, in prompt tokens. */
const PREFIX_TOKENS = 128;

/** Options of a fake engine. */
export interface FakeEngineOptions {
  readonly upstreamId: string;
  readonly shape?: Partial<engineModels.EngineShape>;
  readonly models: readonly { model: string; version: string }[];
  readonly checksFencing: boolean;
  /** Age of the load report that is returned, in milliseconds. */
  readonly reportLagMs: number;
  /** Factor by which steps run faster than the model's durations. */
  readonly speed: number;
}

/** Faults that a test or an operator can inject. */
export interface EngineFaults {
  refuse: boolean;
  resetAfterRead: boolean;
  /** Streams whose number is not higher than this one send nothing more; newer connections work. */
  silentBefore: number;
  leaving: boolean;
  /** Names its process in its answers; engines of the previous version don't. */
  namesProcess: boolean;
  /** Sends every event twice. */
  doubles: boolean;
  /** Size of the pieces in which bytes are sent; 0 sends whole events. */
  pieceBytes: number;
  /** Counts changes of the prefix cache but leaves them out of load reports. */
  losesCacheEvents: boolean;
  /** Closes the server and every connection at once, as a killed process does. */
  die: boolean;
  /** Reports `leaving` at once and closes as a killed process after this many milliseconds; 0 for never. */
  reclaimAfterMs: number;
}

/** Time from the start of a generation on whose prompt an engine crashes until the crash, in milliseconds. */
const CRASH_AFTER_MS = 40;

/** Test double of a model engine that serves the published protocol. */
export class FakeEngine {
  public readonly model: engineModels.EngineModel;
  public readonly faults: EngineFaults = {
    refuse: false,
    resetAfterRead: false,
    silentBefore: 0,
    leaving: false,
    namesProcess: true,
    doubles: false,
    pieceBytes: 0,
    losesCacheEvents: false,
    die: false,
    reclaimAfterMs: 0,
  };
  /** Every generation that this engine has started, by id. */
  public readonly record = new Map<string, generations.FakeGeneration>();
  /** Number of streams opened so far. */
  public streams = 0;
  /** Whether the engine crashes when it begins an answer on a prompt; never by default. */
  public crashesOn: (prompt: string) => boolean = () => false;
  public readonly orders: { order: schemas.Order; status: number }[] = [];
  private processId: string = crypto.randomUUID();
  private readonly tombstones = new Set<string>();
  private readonly server: servers.FakeServer;
  private models: { model: string; version: string }[];
  private latestFencing: schemas.Fencing = { term: 0, index: 0 };
  private reports: schemas.LoadReport[] = [];
  private cacheEvents: { prefix: string; isStored: boolean }[] = [];
  private firstCacheEvent = 0;
  private isStepping = false;
  public isClosed = false;
  private readonly reportTimer: NodeJS.Timeout;

  public constructor(private readonly options: FakeEngineOptions) {
    this.model = new engineModels.EngineModel(options.shape);
    this.models = [...options.models];
    this.model.onCacheChange = (prefix, isStored) => this.recordCacheChange(prefix, isStored);
    this.server = new servers.FakeServer(this.createRoutes(), (res) => {
      if (this.faults.namesProcess) {
        res.setHeader('x-process', this.processId);
      }
    });
    this.reportTimer = setInterval(() => this.recordReport(), 50);
  }

  /** Starts to listen and returns the address. */
  public async listen(port = 0): Promise<string> {
    return this.server.listen(port);
  }

  /** Closes the server and every connection at once, as a killed process does. */
  public kill(): void {
    this.isClosed = true;
    clearInterval(this.reportTimer);
    this.server.kill();
  }

  /** Forgets every generation, as the next process of an engine does that restarts at its address. */
  public restart(): void {
    this.record.forEach((_, id) => this.model.cancel(id));
    this.record.clear();
    this.tombstones.clear();
    this.processId = crypto.randomUUID();
  }

  /** Stops all output on the streams that are open now, without closing them. */
  public silence(): void {
    this.faults.silentBefore = this.streams;
  }

  private createRoutes(): servers.Routes {
    return {
      'POST /v1/completions': (req, res) => this.complete(req, res, 'text_completion'),
      'POST /v1/chat/completions': (req, res) => this.complete(req, res, 'chat.completion'),
      'GET /v1/generations/:id/events': (req, res) => this.resumeStream(req, res),
      'DELETE /v1/generations/:id': (req, res) => this.cancel(req, res),
      'POST /orders': (req, res) => this.handleOrder(req, res),
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
    const generation = this.startGeneration(id, body, object);
    this.stream(generation, res, 0);
  }

  private startGeneration(
    id: string,
    body: generations.CompletionBody,
    object: generations.StreamObject,
  ): generations.FakeGeneration {
    const prompt = generations.getPrompt(body);
    const maxTokens = body.max_tokens ?? 4_096;
    const outputTokens = Math.min(
      body.fake_output_tokens ?? texts.getOutputTokens(prompt, maxTokens),
      maxTokens,
    );
    const generation = new generations.FakeGeneration(id, body.model, object, outputTokens);
    this.record.set(id, generation);
    if (this.crashesOn(prompt)) {
      setTimeout(() => this.kill(), CRASH_AFTER_MS);
      return generation;
    }
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

  private resumeStream(req: servers.FakeRequest, res: http.ServerResponse): void {
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
      // The request may arrive after its cancellation and must then be refused.
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
    const isSilenced = () => connection <= this.faults.silentBefore;
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    res.flushHeaders();
    const write = (text: string) => {
      if (isSilenced() || this.isClosed) {
        return;
      }
      this.writePieces(res, this.faults.doubles ? text + text : text);
    };
    const keepAliveTimer = setInterval(() => write(': alive\n\n'), KEEP_ALIVE_INTERVAL_MS);
    const unsubscribe = generation.subscribe(from, write, () => {
      clearInterval(keepAliveTimer);
      if (!isSilenced()) {
        res.end();
      }
    });
    res.on('close', () => {
      clearInterval(keepAliveTimer);
      unsubscribe();
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

  private handleOrder(req: servers.FakeRequest, res: http.ServerResponse): void {
    const order = servers.parseBody(req) as schemas.Order;
    const { fencing } = order;
    const isStale =
      fencing.term < this.latestFencing.term ||
      (fencing.term === this.latestFencing.term && fencing.index < this.latestFencing.index);
    const status = this.options.checksFencing && isStale ? 409 : 200;
    this.orders.push({ order, status });
    if (status === 200) {
      this.latestFencing = isStale ? this.latestFencing : fencing;
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
      // A stand-in with a fault ends loudly, outside the promise.
      this.runSteps().catch((err: Error) => {
        setImmediate(() => {
          throw err;
        });
      });
    }
  }

  private async runSteps(): Promise<void> {
    let dueAt = performance.now();
    while (!this.model.isIdle() && !this.isClosed) {
      const step = this.model.step();
      dueAt = Math.max(dueAt + step.durationMs / this.options.speed, performance.now() - 20);
      const waitMs = dueAt - performance.now();
      if (waitMs >= 1) {
        await new Promise((resolve) => {
          setTimeout(resolve, waitMs);
        });
      }
      step.finish();
    }
    this.isStepping = false;
    if (!this.model.isIdle() && !this.isClosed) {
      this.startStepping();
    }
  }

  private recordReport(): void {
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
      this.recordReport();
    }
    const report = this.reports[0]!;
    const since = Math.max(Number(req.query.cacheSince ?? 0), this.firstCacheEvent);
    const events = this.cacheEvents.slice(since - this.firstCacheEvent);
    const ageMs = performance.now() - report.at;
    return { ...report, ageMs, cache: { first: since, events } };
  }

  private recordCacheChange(prefix: string, isStored: boolean): void {
    this.cacheEvents.push({ prefix, isStored });
    const droppedCount = this.faults.losesCacheEvents
      ? this.cacheEvents.length
      : this.cacheEvents.length - MAX_CACHE_EVENTS;
    if (droppedCount > 0) {
      this.cacheEvents = this.cacheEvents.slice(droppedCount);
      this.firstCacheEvent += droppedCount;
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
