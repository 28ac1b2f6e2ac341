import * as workers from 'node:worker_threads';

import * as replays from './replay.js';
import * as traces from './trace.js';

/** One replay as a job for a worker. */
export interface PolicyJob {
  readonly user: string;
  readonly rate: number;
  readonly seed: number;
  readonly engines: number;
  readonly durationS: number;
  readonly warmupS: number;
  readonly fault: replays.ReplayFault;
  readonly policy: replays.ReplayPolicy;
}

function run(job: PolicyJob): unknown {
  const mix = traces.MIXES.find((item) => item.user === job.user)!;
  const count = Math.ceil(job.rate * job.durationS * 1.2) + 100;
  const trace = traces.createTrace(mix, job.seed, count);
  return new replays.Replay({ ...job, mix, trace }, job.policy).run();
}

workers.parentPort?.on('message', (job: PolicyJob) => {
  workers.parentPort?.postMessage(run(job));
});
