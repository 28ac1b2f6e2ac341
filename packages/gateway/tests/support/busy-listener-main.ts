import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

import * as connectionGates from '../../src/connection-gate.js';
import * as httpListeners from '../../src/http-listener.js';

/** Processor time that each request takes, in milliseconds. */
const REQUEST_MS = Number(process.argv[2] ?? 10);

const gate = new connectionGates.ConnectionGate({
  clock: new schemas.SystemClock(),
  log: new schemas.SilentLog(),
  metrics: new telemetry.TextMetrics(),
});

const listener = new httpListeners.HttpListener(
  (_req, res) => {
    const end = getProcessorMs() + REQUEST_MS;
    while (getProcessorMs() < end) {
      // Stands for the work of a call on a small host.
    }
    res.end('ok');
  },
  {
    name: 'callers',
    log: new schemas.SilentLog(),
    limits: { connections: 4_096, requestsPerConnection: 16, headBytes: 1e7, stallMs: 60_000 },
    gate,
  },
);

process.on('disconnect', () => process.exit(0));
void listener.listen('127.0.0.1:0').then((port) => process.send?.(port));

function getProcessorMs(): number {
  const { system, user } = process.cpuUsage();
  return (system + user) / 1_000;
}
