import * as http from 'node:http';

import * as hdr from 'hdr-histogram-js';

/** Options of one load process, passed as JSON in its first argument. */
interface LoadOptions {
  readonly url: string;
  readonly token: string;
  readonly streams: number;
  readonly rate: number;
  readonly warmupMs: number;
  readonly measureMs: number;
}

const US_PER_MS = 1_000;

const options = JSON.parse(process.argv[2] ?? '{}') as LoadOptions;
const delays = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
let tokens = 0;
let opened = 0;
let failed = 0;
let isMeasuring = false;

function recordTokens(part: Buffer): void {
  if (!isMeasuring) {
    return;
  }
  const at = performance.timeOrigin + performance.now();
  const text = part.toString('latin1');
  for (let from = text.indexOf('"t":'); from >= 0; from = text.indexOf('"t":', from + 4)) {
    tokens += 1;
    const sent = Number(text.slice(from + 4, text.indexOf('}', from)));
    if (Number.isFinite(sent)) {
      delays.recordValue(Math.max(1, Math.round((at - sent) * US_PER_MS)));
    }
  }
}

function openStream(): void {
  const seconds = (options.warmupMs + options.measureMs) / 1_000 + 5;
  const count = Math.ceil(options.rate * seconds);
  const body = JSON.stringify({
    model: 'spot-drafter',
    stream: true,
    messages: [{ role: 'user', content: 'Draft.' }],
    max_tokens: count,
    fake_output_tokens: count,
    source_rate: options.rate,
  });
  const req = http.request(
    `${options.url}/v1/chat/completions`,
    {
      method: 'POST',
      agent,
      headers: {
        authorization: `Bearer ${options.token}`,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        'x-request-id': `g${opened}`,
      },
    },
    (res) => {
      if (res.statusCode !== 200) {
        failed += 1;
      }
      res.on('data', recordTokens);
      res.on('error', () => {});
    },
  );
  opened += 1;
  req.on('error', () => {
    failed += 1;
  });
  req.end(body);
}

async function main(): Promise<void> {
  const wait = (ms: number) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  for (let i = 0; i < options.streams; i += 1) {
    openStream();
    if (i % 20 === 19) {
      await wait(20);
    }
  }
  await wait(options.warmupMs);
  isMeasuring = true;
  await wait(options.measureMs);
  isMeasuring = false;
  const result = {
    tokens,
    failed,
    p50Us: delays.getValueAtPercentile(50),
    p99Us: delays.getValueAtPercentile(99),
  };
  process.stdout.write(`${JSON.stringify(result)}\n`, () => process.exit(0));
}

await main();
