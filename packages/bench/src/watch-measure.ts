import * as os from 'node:os';
import * as path from 'node:path';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as children from './child.js';

const READ_COUNTS = [2_000, 4_000, 8_000] as const;

/** Number of reads before the measurement, so that the code is compiled by then. */
const WARM_UP_READS = 3_000;
const CONCURRENT_READS = 10;

/** Processor time for reading load reports. */
export interface ReportReadRow {
  readonly reports: number;
  readonly cpuUsPerReport: number;
}

/** Measures the processor time for each load report that a pool owner reads from a server in another process. */
export async function measureReportReads(): Promise<ReportReadRow[]> {
  const log = path.join(os.tmpdir(), `bramleyridge-watch-${process.pid}.log`);
  const source = new children.Child([children.getProgram('bench', 'relay/source-main.js')], log);
  const { port } = JSON.parse(await source.getFirstLine()) as { port: number };
  const engines = new requests.EngineClient({
    gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
    connectMs: 1_000,
    answerMs: 5_000,
  });
  const upstream: schemas.Upstream = {
    upstreamId: 'source',
    kind: 'engine',
    availabilityZone: 'a',
    url: `http://127.0.0.1:${port}`,
    state: 'live',
    checksFencing: true,
  };
  const readReport = async () => {
    schemas.parse(schemas.loadReport, await engines.getJson(upstream, '/load'), 'load-report');
  };
  const rows: ReportReadRow[] = [];
  for (let i = 0; i < WARM_UP_READS; i += CONCURRENT_READS) {
    await Promise.all(Array.from({ length: CONCURRENT_READS }, readReport));
  }
  for (const reports of READ_COUNTS) {
    const before = process.cpuUsage();
    for (let i = 0; i < reports; i += CONCURRENT_READS) {
      await Promise.all(Array.from({ length: CONCURRENT_READS }, readReport));
    }
    const used = process.cpuUsage(before);
    rows.push({ reports, cpuUsPerReport: (used.user + used.system) / reports });
  }
  await engines.close();
  await source.kill();
  return rows;
}
