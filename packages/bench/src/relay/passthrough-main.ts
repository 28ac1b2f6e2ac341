import * as http from 'node:http';

const [, , target] = process.argv;
const agent = new http.Agent({ keepAlive: true });

/** A minimal proxy that only pipes the request to the target and the response back. */
const server = http.createServer((req, res) => {
  const upstreamReq = http.request(
    `${target}${req.url}`,
    { method: req.method, headers: { ...req.headers, 'x-request-id': 'g' }, agent },
    (upstreamRes) => {
      res.writeHead(upstreamRes.statusCode ?? 502, upstreamRes.headers);
      upstreamRes.pipe(res);
    },
  );
  upstreamReq.on('error', () => res.destroy());
  req.pipe(upstreamReq);
});
server.on('connection', (socket) => socket.setNoDelay(true));
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${JSON.stringify(server.address())}\n`);
});
