import * as http from 'node:http';

const [, , target] = process.argv;
const agent = new http.Agent({ keepAlive: true });

/** The least that a proxy can do: pipe the request there and the answer back. */
const server = http.createServer((req, res) => {
  const upstream = http.request(
    `${target}${req.url}`,
    { method: req.method, headers: { ...req.headers, 'x-request-id': 'g' }, agent },
    (answer) => {
      res.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(res);
    },
  );
  upstream.on('error', () => res.destroy());
  req.pipe(upstream);
});
server.on('connection', (socket) => socket.setNoDelay(true));
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${JSON.stringify(server.address())}\n`);
});
