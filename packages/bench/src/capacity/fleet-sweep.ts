import * as z from 'zod';

import * as reports from '../report.js';

/** A figure of one role or of the whole fleet, at each number of hosts. */
const sweepRow = z.object({
  figure: z.string(),
  middle: z.array(z.number()),
  /** Value of the busiest host, or the longest time. */
  most: z.array(z.number()),
  /** Exponent of the number of hosts with which the value of the busiest host grows. */
  power: z.number(),
  atTarget: z.number(),
});

const sweepResults = z.object({
  code: z.string(),
  note: z.string(),
  hosts: z.array(z.int()),
  upstreams: z.array(z.int()),
  targetHosts: z.int(),
  served: z.array(z.number()),
  rows: z.array(sweepRow),
});

/** Creates the section of the capacity page with the results of a sweep over fleet sizes on the users' platform. */
export function createSweepSection(): string[] {
  const found = reports.findResults<unknown>('fleet-sweep');
  if (found === undefined) {
    return [];
  }
  const { code, hosts, note, rows, served, targetHosts, upstreams } = sweepResults.parse(found);
  const sizes = hosts.map((count, i) => `${count} with ${upstreams[i]} upstreams`).join(', ');
  const shares = served.join(', ');
  return [
    "## Fleets on the users' platform",
    `One day at each number of own hosts (${sizes}), on the code of ${code}; served ${shares} of what was owed. ${note}`,
    'The middle host or time, and the busiest or longest. The last column carries the power on to the target and was not played.',
    reports.createTable(
      rows.map((row) => ({
        figure: row.figure,
        ...Object.fromEntries(
          hosts.map((count, i) => [`${count} hosts`, `${row.middle[i]} / ${row.most[i]}`]),
        ),
        power: row.power,
        [`at ${targetHosts} hosts`]: row.atTarget,
      })),
    ),
  ];
}
