import * as os from 'node:os';
import * as path from 'node:path';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as children from './child.js';

const READ_COUNTS = [2_000, 4_000, 8_000] as const;

/** Reads before the measurement, until the code is compiled. */
const WARM_UP_READS = 3_000;
const CONCURRENT_READS = 10;

/** What reading load reports costs the reader. */
export interface ReportReadRow {
  readonly reports: number;
  readonly cpuUsPerReport: number;
}

/** Processor time for each load report that a pool owner reads, from a server in another process. */
export async function measureReportReads(): Promise<ReportReadRow[]> {
  const log = path.join(os.tmpdir(), `bramleyridge-watch-${process.pid}.log`);
  const source = new children.Child([children.getProgram('bench', 'relay/source-main.js')], log);
  const { port } = JSON.parse(await source.getFirstLine()) as { port: number };
  const engines = new requests.EngineClient({ connectMs: 1_000, answerMs: 5_000 });
  const upstream: schemas.Upstream = {
    upstreamId: 'source',
    kind: 'engine',
    availabilityZone: 'a',
    url: `http://127.0.0.1:${port}`,
    state: 'live',
    checksFencing: true,
  };
  const poll = async () => {
    schemas.parse(schemas.loadReport, await engines.getJson(upstream, '/load'), 'load-report');
  };
  const rows: ReportReadRow[] = [];
  for (let i = 0; i < WARM_UP_READS; i += CONCURRENT_READS) {
    await Promise.all(Array.from({ length: CONCURRENT_READS }, poll));
  }
  for (const reports of READ_COUNTS) {
    const before = process.cpuUsage();
    for (let i = 0; i < reports; i += CONCURRENT_READS) {
      await Promise.all(Array.from({ length: CONCURRENT_READS }, poll));
    }
    const used = process.cpuUsage(before);
    rows.push({ reports, cpuUsPerReport: (used.user + used.system) / reports });
  }
  await engines.close();
  await source.kill();
  return rows;
}
