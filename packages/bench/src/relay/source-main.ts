import * as http from 'node:http';
import type * as net from 'node:net';

/** Interval at which the source writes due events; the due times of streams are spread over the ticks. */
const TICK_MS = 2;

const MODEL = { model: 'spot-drafter', version: 'v1' };

interface Stream {
  readonly id: string;
  readonly res: http.ServerResponse;
  readonly everyMs: number;
  readonly total: number;
  next: number;
  dueAt: number;
}

interface Body {
  readonly source_rate?: number;
  readonly fake_output_tokens?: number;
}

const streams = new Set<Stream>();

/** Returns the wall-clock time in fractional milliseconds, which the processes of one machine share. */
function now(): number {
  return performance.timeOrigin + performance.now();
}

function writeEvent(stream: Stream): void {
  const { id, next, res, total } = stream;
  const isLast = next >= total;
  const delta = isLast ? '{}' : '{"content":" token"}';
  const finish = isLast ? '"stop"' : 'null';
  const data =
    `{"id":"${id}","object":"chat.completion.chunk","created":1,"model":"m","choices":` +
    `[{"index":0,"delta":${delta},"finish_reason":${finish}}],"t":${now().toFixed(3)}}`;
  const end = isLast ? 'data: [DONE]\n\n' : '';
  res.write(`id: ${id}:${next}\ndata: ${data}\n\n${end}`);
  if (isLast) {
    streams.delete(stream);
    res.end();
  }
  stream.next += 1;
}

function tick(): void {
  const at = performance.now();
  streams.forEach((stream) => {
    while (stream.dueAt <= at && streams.has(stream)) {
      stream.dueAt += stream.everyMs;
      writeEvent(stream);
    }
  });
}

function startStream(req: http.IncomingMessage, res: http.ServerResponse, text: string): void {
  const body = JSON.parse(text) as Body;
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  const everyMs = 1_000 / (body.source_rate ?? 50);
  const stream: Stream = {
    id: String(req.headers['x-request-id'] ?? 'g'),
    res,
    everyMs,
    total: body.fake_output_tokens ?? 1_000,
    next: 0,
    // A random phase spreads the streams over the period, like the steps of many engines.
    dueAt: performance.now() + Math.random() * everyMs,
  };
  streams.add(stream);
  res.on('close', () => streams.delete(stream));
}

const server = http.createServer((req, res) => {
  if (req.url?.startsWith('/load')) {
    res.end(
      JSON.stringify({
        at: performance.now(),
        ageMs: 0,
        tokensTotal: 1_000_000_000,
        tokensUsed: 0,
        running: streams.size,
        waiting: 0,
        preemptions: 0,
        state: 'live',
        models: [MODEL],
      }),
    );
    return;
  }
  if (req.url?.startsWith('/v1/hosts')) {
    const { port } = server.address() as net.AddressInfo;
    const upstream = {
      upstreamId: 'source',
      kind: 'engine',
      availabilityZone: 'a',
      url: `http://127.0.0.1:${port}`,
      state: 'live',
      checksFencing: true,
    };
    res.end(JSON.stringify({ upstreams: [upstream] }));
    return;
  }
  let text = '';
  req.on('data', (part: Buffer) => {
    text += part.toString('utf8');
  });
  req.on('end', () => (req.method === 'POST' ? startStream(req, res, text) : res.end('{}')));
});
server.on('connection', (socket) => socket.setNoDelay(true));
setInterval(tick, TICK_MS);
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${JSON.stringify(server.address())}\n`);
});
