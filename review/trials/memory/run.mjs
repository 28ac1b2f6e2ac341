// Starts three core hosts and sends them hundreds of changes of a large configuration. The stand-in of the platform ends a
// process that uses more memory than its machine has, and starts it again, as the real one does. Nothing else is disturbed,
// so the operator must be able to read the newest acknowledged configuration.
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const ROOT = path.resolve(FOLDER, '../../..');
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Exit statuses. */
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Addresses of the core hosts; the ports are the same on all of them. */
const IPS = ['127.0.31.1', '127.0.31.2', '127.0.31.3'];

/** Routes of the document at first, and what each of two later changes adds to it. */
const FIRST_ROUTES = 60;
const GROWTH = HAS_TROUBLE ? [1_400, 500] : [];

/** Changes that follow, the pause between two of them, and the number of orders that may be in progress at once. */
const CHANGES = 600;
const GAP_MS = 60;
const MAX_ORDERS = 8;

/** Time after which no more changes are sent. */
const SEND_MS = 55_000;

/** Memory of a core machine, in MB, and the time after which a process that has ended is started again. */
const MEMORY_MB = 346;
const RESTART_MS = 1_000;

/** Time for which the operator tries to read the configuration back. */
const READ_BACK_MS = 30_000;

/** Time after which the script gives up. */
const TIME_LIMIT_MS = 110_000;

/** Timeout of one request of the operator. */
const REQUEST_TIMEOUT_MS = 3_000;

const startedAt = performance.now();
const record = fs.createWriteStream(path.join(FOLDER, 'record.txt'));
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-memory-'));
const children = new Map();

/** Ends of processes, and the most memory that one has used, by host. */
const ends = new Map();
const peakMb = new Map();
let isOver = false;

function note(text) {
  const line = `${((performance.now() - startedAt) / 1_000).toFixed(3)} s  ${text}`;
  record.write(`${line}\n`);
  console.log(line);
}

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Finds a port that is free on every address. */
async function findFreePort() {
  const ips = IPS;
  const servers = ips.map(() => net.createServer());
  try {
    let port = 0;
    for (const [index, ip] of ips.entries()) {
      await listen(servers[index], port, ip);
      ({ port } = servers[index].address());
    }
    return port;
  } finally {
    await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  }
}

function listen(server, port, ip) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}

/** The command of the deploy file for the core role. */
function readCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /\[roles\.core\]\s*run = "([^"]+)"/.exec(text)[1].split(' ');
}

function start(ip, ports, isFirstStart) {
  const file = path.join(folder, `${ip}.json`);
  const settings = {
    hostId: `core-${ip}`,
    availabilityZone: `zone-${IPS.indexOf(ip)}`,
    regions: { 'zone-0': 'r', 'zone-1': 'r', 'zone-2': 'r' },
    ipAddress: ip,
    operatorAddress: `${ip}:${ports.operator}`,
    dataFolder: path.join(folder, ip),
    metricsAddress: `${ip}:${ports.metrics}`,
    peerPort: ports.peer,
    seeds: IPS.map((seed) => `${seed}:${ports.operator}`),
    isFirstStart,
    lossesToBear: 1,
    listAddress: ports.list,
    listCallsPerS: 42,
    fileDescriptors: 4_096,
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
    bounds: {
      reachMs: 3_000,
      acknowledgeMs: 4_000,
      leavingMs: 3_000,
      stopS: 8,
      retryRatio: 0.2,
      retrySlack: 54,
      retryWindowS: 10,
    },
  };
  fs.writeFileSync(file, JSON.stringify(settings));
  const [program, ...args] = readCommand();
  const child = spawn(program, args, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, BRAMLEYRIDGE_SETTINGS: file },
    stdio: ['ignore', fs.openSync(path.join(folder, `${ip}.log`), 'a'), 'inherit'],
  });
  const ended = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      note(`${ip} ended (${signal ?? code})`);
      resolve();
      if (!isOver) {
        ends.set(ip, (ends.get(ip) ?? 0) + 1);
        setTimeout(() => isOver || start(ip, ports, false), RESTART_MS);
      }
    });
  });
  children.set(ip, { child, ended });
}

/** The memory that a process holds itself, without files that are mapped, in MB; 0 once it has ended. */
function readMemoryMb(child) {
  try {
    const status = fs.readFileSync(`/proc/${child.pid}/status`, 'utf8');
    return Number(/RssAnon:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}

/** Ends each process that uses more memory than its machine has. */
function limitMemory() {
  for (const [ip, { child }] of children) {
    const usedMb = child.exitCode === null && child.signalCode === null ? readMemoryMb(child) : 0;
    if (usedMb > MEMORY_MB && !child.killed) {
      note(`${ip} uses ${usedMb.toFixed(0)} MB of ${MEMORY_MB} MB`);
      child.kill('SIGKILL');
    }
    peakMb.set(ip, Math.max(peakMb.get(ip) ?? 0, usedMb));
  }
}

function request(ip, port, method, body) {
  return new Promise((resolve) => {
    const req = http.request(
      {
        host: ip,
        port,
        path: '/v1/configuration',
        method,
        agent: false,
        timeout: REQUEST_TIMEOUT_MS,
      },
      (res) => {
        const parts = [];
        res.on('data', (part) => parts.push(part));
        res.on('error', () => resolve({ status: 0 }));
        res.on('end', () =>
          resolve({ status: res.statusCode, body: Buffer.concat(parts).toString() }),
        );
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve({ status: 0 }));
    if (body !== undefined) {
      req.setHeader('content-type', 'application/json');
    }
    req.end(body);
  });
}

function createDocument(version, routes) {
  return JSON.stringify({
    version,
    routes: Array.from({ length: routes }, (_, i) => ({
      name: `r-vz${i}`,
      host: 'ficu95.example',
      pathPrefix: `/pufi${i}/`,
      kind: 'idempotent',
      timeoutMs: 1_000 + (version % 100),
      targetLatencyMs: 121,
      priority: 2,
      service: 'wuno96b',
      attempts: 2,
      public: false,
      stickySessions: false,
      resumable: false,
    })),
    services: [
      {
        name: 'wuno96b',
        healthCheckPath: '/health',
        connectionLimit: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'huka270', apiKeys: ['xd9dnn2ctnfzs989anu6'], priority: 1 }],
  });
}

/** The operator: sends versions in order and remembers the newest that was acknowledged. */
class Operator {
  constructor(port) {
    this.port = port;
    this.version = 0;
    this.acked = 0;
    this.ackedCount = 0;
  }

  /** Sends one change to a host, and to the next one after a failure, until it is acknowledged or the time is over. */
  async change(routes, ips, end = Infinity) {
    this.version += 1;
    const { version } = this;
    const text = createDocument(version, routes);
    for (let sends = 0; sends === 0 || performance.now() < end; sends += 1) {
      const ip = ips[(version + sends) % ips.length];
      const { status } = await request(ip, this.port, 'PUT', text);
      note(`PUT version ${version}, ${text.length} bytes, to ${ip}: ${status || 'no answer'}`);
      if (status === 200) {
        this.acked = Math.max(this.acked, version);
        this.ackedCount += 1;
        return true;
      }
      await sleep(200);
    }
    return false;
  }

  /** Reads the configuration at a host; returns its version if there is an answer that holds one. */
  async read(ip) {
    const { body, status } = await request(ip, this.port, 'GET');
    const version = status === 200 ? JSON.parse(body).version : undefined;
    note(
      `GET at ${ip}: ${status || 'no answer'}${version === undefined ? '' : `, version ${version}`}`,
    );
    return version;
  }
}

/** Kills a core host at the end. */
async function kill(ip) {
  const { child, ended } = children.get(ip);
  child.kill('SIGKILL');
  await ended;
}

/** Sends changes in quick succession; resolves when all are acknowledged or given up. */
async function sendChanges(operator, routes) {
  const pending = new Set();
  const end = performance.now() + SEND_MS;
  for (let sent = 0; sent < CHANGES && performance.now() < end; sent += 1) {
    const order = operator.change(routes, IPS, end).finally(() => pending.delete(order));
    pending.add(order);
    await sleep(GAP_MS);
    while (pending.size >= MAX_ORDERS) {
      await Promise.race(pending);
    }
  }
  await Promise.all(pending);
}

/** Reads at all hosts until one answers with the newest acknowledged version; returns the newest version read. */
async function readBack(operator) {
  const end = performance.now() + READ_BACK_MS;
  let newest = 0;
  while (newest < operator.acked && performance.now() < end) {
    for (const ip of IPS) {
      newest = Math.max(newest, (await operator.read(ip)) ?? 0);
    }
    await sleep(250);
  }
  return newest;
}

async function run() {
  const list = http.createServer((req, res) => {
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({ instances: [], next: null }));
  });
  await listen(list, 0, '127.0.0.1');
  list.unref();
  const ports = {
    operator: await findFreePort(),
    peer: await findFreePort(),
    metrics: await findFreePort(),
    list: `127.0.0.1:${list.address().port}`,
  };
  IPS.forEach((ip) => start(ip, ports, true));
  setInterval(limitMemory, 5).unref();
  const operator = new Operator(ports.operator);
  let routes = FIRST_ROUTES;
  if (!(await operator.change(routes, IPS))) {
    return COULD_NOT_RUN;
  }
  for (const added of GROWTH) {
    routes += added;
    await operator.change(routes, IPS);
  }
  await sendChanges(operator, routes);
  note(`${operator.ackedCount} changes acknowledged, the newest is ${operator.acked}`);
  const newest = await readBack(operator);
  const counts = IPS.map(
    (ip) => `${ip} ${ends.get(ip) ?? 0} times, ${peakMb.get(ip)?.toFixed(0)} MB at most`,
  );
  note(`ended for their memory: ${counts.join('; ')}`);
  const isHeld = newest >= operator.acked;
  note(
    `${isHeld ? 'held' : 'BROKEN'}: acknowledged ${operator.acked}, read back ${newest || 'nothing'}`,
  );
  return isHeld ? HELD : BROKEN;
}

/** Ends everything that this script has started, if it takes too long. */
setTimeout(() => {
  isOver = true;
  note('could not run in time');
  children.forEach(({ child }) => child.kill('SIGKILL'));
  fs.rmSync(folder, { recursive: true, force: true });
  process.exit(COULD_NOT_RUN);
}, TIME_LIMIT_MS).unref();

let status = COULD_NOT_RUN;
try {
  status = await run();
} catch (err) {
  note(`could not run: ${err.stack}`);
}
isOver = true;
await Promise.all([...children.keys()].map((ip) => kill(ip)));
fs.rmSync(folder, { recursive: true, force: true });
await new Promise((resolve) => {
  record.end(resolve);
});
process.exit(status);
