import * as httpListeners from '../../src/http-listener.js';

/** Processor time that each request takes, in milliseconds. */
const REQUEST_MS = Number(process.argv[2] ?? 10);

const listener = new httpListeners.HttpListener((_req, res) => {
  const end = process.cpuUsage().user + REQUEST_MS * 1_000;
  while (process.cpuUsage().user < end) {
    // Stands for the work of a call on a small host.
  }
  res.end('ok');
});

process.on('disconnect', () => process.exit(0));
void listener.listen('127.0.0.1:0').then((port) => process.send?.(port));
