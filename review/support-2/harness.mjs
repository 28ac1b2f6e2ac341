/** Shared parts of the scripts of this review: processes, settings, ports, the record and the verdict. */
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const ROOT = url.fileURLToPath(new URL('../../', import.meta.url));
const LIMIT_MS = 112_000;

export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** One case: a temporary folder, the processes that it started, and its record. */
export class Case {
  startedAt = performance.now();
  processes = [];
  closers = [];

  constructor(folderUrl) {
    this.record = fs.createWriteStream(path.join(url.fileURLToPath(folderUrl), 'record.txt'));
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-review-'));
    // A subnet of its own, so that the fixed metrics port is free.
    const part = () => 1 + Math.floor(Math.random() * 250);
    this.subnet = `127.${100 + (part() % 100)}.${part()}`;
    this.note(HAS_TROUBLE ? 'with the disruption' : 'TROUBLE=0: without the disruption');
  }

  now() {
    return performance.now() - this.startedAt;
  }

  note(text) {
    this.record.write(`${(this.now() / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
  }

  ip(n) {
    return `${this.subnet}.${n}`;
  }

  /** Returns a port that is free on an address. */
  async freePort(ip) {
    const server = net.createServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
    const { port } = server.address();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    return port;
  }

  /** Starts an HTTP stand-in and returns its address. */
  async serve(ip, handle) {
    const server = http.createServer(handle);
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
    const close = () => {
      server.closeAllConnections();
      server.close();
    };
    this.closers.push(close);
    return { address: `${ip}:${server.address().port}`, close, server };
  }

  /** Starts a program of the project with the command of the deploy file. */
  start(role, name, settings) {
    const file = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const [command, ...args] = readCommand(role);
    const { HOME, LANG, PATH } = process.env;
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { HOME, LANG, PATH, BRAMLEYRIDGE_SETTINGS: file },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    const program = { name, child, settings, isExpectedToEnd: false };
    program.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.note(`process ${name} ended, code ${code}, signal ${signal}`);
        resolve();
      });
    });
    this.processes.push(program);
    this.note(`process ${name} started, pid ${child.pid}`);
    return program;
  }

  signal(program, name) {
    this.note(`${name} to ${program.name}`);
    program.child.kill(name);
  }

  readLog(name) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
  }

  /** Ends everything that the case started, and this process with it. */
  async finish(code, text) {
    this.note(text);
    this.note(`exit ${code}`);
    this.processes.forEach(({ child }) => child.kill('SIGKILL'));
    this.closers.forEach((close) => close());
    await Promise.race([Promise.all(this.processes.map(({ ended }) => ended)), sleep(2_000)]);
    if (process.env.KEEP === '1') {
      console.log(`logs: ${this.folder}`);
    } else {
      fs.rmSync(this.folder, { recursive: true, force: true });
    }
    console.log(text);
    await new Promise((resolve) => {
      this.record.end(resolve);
    });
    process.exit(code);
  }

  /** Runs a case; one that can't run or takes too long ends with 2. */
  async run(body) {
    const late = setTimeout(() => void this.finish(2, 'the case took too long'), LIMIT_MS);
    late.unref();
    ['SIGTERM', 'SIGINT'].forEach((name) =>
      process.once(name, () => void this.finish(2, `ended by ${name}`)),
    );
    try {
      const broken = await body();
      if (broken === undefined) {
        await this.finish(0, 'the rule held');
      } else {
        await this.finish(1, `the rule was broken: ${broken}`);
      }
    } catch (err) {
      await this.finish(2, `the case could not run: ${err.stack}`);
    }
  }
}

/** Sends one HTTP request on a connection of its own; resolves with what came, also if that is no answer. */
export function send({
  address,
  method = 'GET',
  target,
  headers = {},
  body = '',
  timeoutMs = 1_000,
}) {
  const at = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const req = http.request({
      host: address.slice(0, at),
      port: Number(address.slice(at + 1)),
      method,
      path: target,
      headers: body === '' ? headers : { 'content-length': Buffer.byteLength(body), ...headers },
      agent: false,
    });
    const timer = setTimeout(() => req.destroy(new Error('no response in time')), timeoutMs);
    const fail = (err) => {
      clearTimeout(timer);
      resolve({ status: 0, headers: {}, body: '', err: err.message });
    };
    req.once('error', fail);
    req.once('response', (res) => {
      const parts = [];
      res.on('data', (part) => parts.push(part));
      res.once('error', fail);
      res.once('end', () => {
        clearTimeout(timer);
        const text = Buffer.concat(parts).toString('utf8');
        resolve({ status: res.statusCode, headers: res.headers, body: text });
      });
    });
    req.end(body);
  });
}

/** The bounds of a small deployment. */
export const BOUNDS = {
  reachMs: 3_000,
  acknowledgeMs: 4_000,
  leavingMs: 3_000,
  stopS: 8,
  retryRatio: 0.2,
  retrySlack: 56,
  retryWindowS: 10,
};

/** A deployment with three core hosts and some entry hosts in three zones, and the platform's list of runners. */
export class Deployment {
  instances = [];
  cores = [];
  entries = [];

  constructor(testCase) {
    this.case = testCase;
  }

  async prepare() {
    const list = await this.case.serve(this.case.ip(200), (_req, res) => {
      res.setHeader('content-type', 'application/json');
      res.end(JSON.stringify({ instances: this.instances, next: null }));
    });
    this.listAddress = list.address;
    this.operatorPort = await this.case.freePort(this.case.ip(1));
    this.peerPort = await this.case.freePort(this.case.ip(1));
    this.callerPort = await this.case.freePort(this.case.ip(21));
    this.readyPort = await this.case.freePort(this.case.ip(21));
  }

  seeds() {
    return [1, 2, 3].map((n) => `${this.case.ip(n)}:${this.operatorPort}`);
  }

  common(name, ip, zone, isFirstStart) {
    return {
      hostId: name,
      availabilityZone: zone,
      regions: { a: 'north', b: 'north', c: 'north' },
      ipAddress: ip,
      metricsAddress: `${ip}:9464`,
      peerPort: this.peerPort,
      seeds: this.seeds(),
      isFirstStart,
      lossesToBear: 1,
      listAddress: this.listAddress,
      listCallsPerS: 44,
      fileDescriptors: 4_100,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
      ],
      bounds: BOUNDS,
    };
  }

  /** Starts a core host; a new one at another address has an empty disk. */
  startCore(n, isFirstStart = true) {
    const ip = this.case.ip(n);
    const name = `core-${n}`;
    const zone = 'abc'[(n - 1) % 3];
    const program = this.case.start('core', name, {
      ...this.common(name, ip, zone, isFirstStart),
      operatorAddress: `${ip}:${this.operatorPort}`,
      dataFolder: path.join(this.case.folder, name),
    });
    const core = { n, name, ip, program, operator: `${ip}:${this.operatorPort}` };
    this.cores = [...this.cores.filter((other) => other.n !== n), core];
    return core;
  }

  startEntry(n, isFirstStart = true) {
    const ip = this.case.ip(20 + n);
    const name = `entry-${n}`;
    const program = this.case.start('entry', name, {
      ...this.common(name, ip, 'abc'[(n - 1) % 3], isFirstStart),
      callerAddress: `${ip}:${this.callerPort}`,
      readyAddress: `${ip}:${this.readyPort}`,
    });
    const entry = {
      n,
      name,
      ip,
      program,
      caller: `${ip}:${this.callerPort}`,
      ready: `${ip}:${this.readyPort}`,
    };
    this.entries = [...this.entries.filter((other) => other.n !== n), entry];
    return entry;
  }

  /** Waits until an entry host says that it is ready. */
  async awaitReady(entry, timeoutMs = 20_000) {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      const { status } = await send({ address: entry.ready, target: '/v1/readiness' });
      if (status === 200) {
        return;
      }
      await sleep(50);
    }
    throw new Error(`${entry.name} is not ready`);
  }

  /** Reads a gauge of a process, to choose the moment of a disruption; not used for the verdict. */
  async readGauge(ip, name) {
    const { body } = await send({ address: `${ip}:9464`, target: '/metrics' });
    const value = new RegExp(`^\\S*${name}\\S* (\\S+)$`, 'im').exec(body)?.[1];
    return value === undefined ? undefined : Number(value);
  }

  /**
   * Sends one desired state as the operator does: to one daemon after the other with growing pauses until one gives a clear
   * response or the time is over. Returns the time that it took, or undefined.
   */
  async put(document, { cores = this.cores, timeoutMs = 4_000 } = {}) {
    const body = JSON.stringify(document);
    const startedAt = performance.now();
    let pauseMs = 25;
    for (let i = Math.floor(Math.random() * cores.length); ; i += 1) {
      const core = cores[i % cores.length];
      const res = await send({
        address: core.operator,
        method: 'PUT',
        target: '/v1/configuration',
        headers: { 'content-type': 'application/json' },
        body,
      });
      const tookMs = performance.now() - startedAt;
      if (res.status === 200) {
        return tookMs;
      }
      this.case.note(`version ${document.version} at ${core.name}: ${res.status} ${res.err ?? ''}`);
      if ([400, 409, 412, 413, 422].includes(res.status) || tookMs > timeoutMs) {
        return undefined;
      }
      await sleep(pauseMs);
      pauseMs = Math.min(400, pauseMs * 2);
    }
  }

  /** Reads the desired state at one daemon after the other until one answers 200 or the time is over. */
  async read({ cores = this.cores, timeoutMs = 4_000 } = {}) {
    const startedAt = performance.now();
    for (let i = 0; performance.now() - startedAt < timeoutMs; i += 1) {
      const core = cores[i % cores.length];
      const res = await send({ address: core.operator, target: '/v1/configuration' });
      this.case.note(`read at ${core.name}: ${res.status} ${res.err ?? ''}`);
      if (res.status === 200) {
        return JSON.parse(res.body);
      }
      await sleep(100);
    }
    return undefined;
  }
}

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Creates a route as the pages show it. */
export function createRoute(fields) {
  return {
    host: 'site.example',
    timeoutMs: 6_000,
    targetLatencyMs: 100,
    priority: 0,
    attempts: 1,
    public: false,
    stickySessions: false,
    resumable: false,
    gapTargetMs: null,
    ...fields,
  };
}

/** Creates a desired state. */
export function createDocument(version, routes, services) {
  return {
    version,
    routes,
    services,
    limits: LIMITS,
    tenants: [{ name: 'team-a', apiKeys: ['key-a'], priority: 1 }],
  };
}
