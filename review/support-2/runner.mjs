/** Stand-ins of runners and consumers, by the users' pages. */
import * as http from 'node:http';

import * as harness from './harness.mjs';

const HEADERS = {
  requestId: 'x-bramleyridge-request-id',
  expected: 'x-bramleyridge-expected-instance',
  signature: 'x-bramleyridge-response-signature',
  notExecuted: 'x-bramleyridge-not-executed',
  load: 'x-bramleyridge-server-load',
  instance: 'x-bramleyridge-instance-id',
};

async function readBody(req) {
  const parts = [];
  for await (const part of req) {
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** A runner; `work` writes the answer of a request that it runs. */
export class Runner {
  running = 0;

  constructor(testCase, { identifier, service, slots, zone = 'a', work, orders = {} }) {
    Object.assign(this, { testCase, identifier, service, slots, zone, work, orders });
  }

  async start(deployment, ip) {
    this.listener = await this.testCase.serve(ip, (req, res) => {
      this.handle(req, res).catch((err) => {
        this.testCase.note(`${this.identifier}: ${err.message}`);
        res.destroy();
      });
    });
    this.address = this.listener.address;
    this.instance = {
      identifier: this.identifier,
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
    };
    deployment.instances.push(this.instance);
    return this;
  }

  loadHeader() {
    return { [HEADERS.load]: `${this.running},0,${this.slots}` };
  }

  async handle(req, res) {
    if (req.url === '/health') {
      const isReady = this.instance.state === 'ready';
      const headers = { [HEADERS.instance]: this.identifier, ...this.loadHeader() };
      res.writeHead(isReady ? 200 : 503, { ...headers, 'content-length': 0 });
      res.end();
      return;
    }
    const order = this.orders[`${req.method} ${req.url}`];
    if (order !== undefined) {
      await order(req, res, await readBody(req));
      return;
    }
    const requestId = req.headers[HEADERS.requestId];
    const echo = { [HEADERS.requestId]: requestId ?? '' };
    const reject = (status) => {
      res.writeHead(status, { ...echo, [HEADERS.notExecuted]: '1', 'content-length': 0 });
      res.end();
    };
    const body = await readBody(req);
    if (requestId === undefined) {
      reject(400);
      return;
    }
    const expected = req.headers[HEADERS.expected];
    if (expected !== undefined && expected !== this.identifier) {
      reject(421);
      return;
    }
    if (this.running >= this.slots) {
      reject(503);
      return;
    }
    this.running += 1;
    this.testCase.note(`${this.identifier} runs ${requestId} ${req.method} ${req.url}`);
    const headers = { ...echo, [HEADERS.signature]: `sig-${requestId}`, ...this.loadHeader() };
    try {
      await this.work({ req, res, body, requestId, headers });
    } finally {
      this.running -= 1;
    }
  }
}

/** Answers with a short body. */
export function answerShort(workMs) {
  return async ({ res, requestId, headers }) => {
    await harness.sleep(workMs);
    const text = `answer to ${requestId}`;
    res.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(text) });
    res.end(text);
  };
}

let lastRequest = 0;

/** One request of a consumer, with what it got; `onEvent` sees each part of the body. */
export function consume({
  caller,
  target,
  method = 'GET',
  deadlineMs,
  headers = {},
  body = '',
  agent,
}) {
  lastRequest += 1;
  const requestId = `q${String(lastRequest).padStart(6, '0')}`;
  const seen = {
    requestId,
    target,
    sentAt: performance.now(),
    status: 0,
    text: '',
    isComplete: false,
  };
  const at = caller.lastIndexOf(':');
  seen.over = new Promise((resolve) => {
    const req = http.request({
      host: caller.slice(0, at),
      port: Number(caller.slice(at + 1)),
      method,
      path: target,
      agent: agent ?? false,
      headers: {
        host: 'site.example',
        authorization: 'Token key-a',
        'x-bramleyridge-request-id': requestId,
        'x-bramleyridge-deadline-milliseconds': String(deadlineMs),
        ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
        ...headers,
      },
    });
    seen.abort = () => req.destroy(new Error('the consumer gives up'));
    const end = () => {
      seen.endedAt ??= performance.now();
      resolve(seen);
    };
    req.once('error', (err) => {
      seen.err = err.message;
      end();
    });
    req.once('response', (res) => {
      seen.status = res.statusCode;
      seen.headers = res.headers;
      seen.answeredAt = performance.now();
      res.on('data', (part) => {
        seen.text += part.toString('utf8');
      });
      res.once('error', (err) => {
        seen.err = err.message;
        end();
      });
      res.once('end', () => {
        seen.isComplete = res.complete;
        end();
      });
    });
    req.end(body);
  });
  return seen;
}
