import * as fs from 'node:fs';
import * as url from 'node:url';

import * as peers from '@bramleyridge/peers';
import type * as schemas from '@bramleyridge/schemas';
import * as prettier from 'prettier';

import * as reports from '../report.js';
import * as fleetSweeps from './fleet-sweep.js';
import * as outcomes from './outcomes.js';
import * as rowsFile from './rows.js';
import * as slopesFile from './slopes.js';

const SIZES_FILE = url.fileURLToPath(new URL('../../../capacity-sizes.json', import.meta.url));
const PAGE_FILE = url.fileURLToPath(new URL('../../../../../docs/CAPACITY.md', import.meta.url));

interface SizesFile {
  readonly target: rowsFile.Sizes;
  readonly today: rowsFile.Sizes;
  readonly budget: rowsFile.Budget;
}

interface BudgetedRow {
  readonly row: rowsFile.CapacityRow;
  readonly today: rowsFile.CapacityRow;
  readonly limit: number | undefined;
}

function isOverBudget({ limit, row }: BudgetedRow): boolean {
  return limit !== undefined && row.value > limit;
}

function formatValue(value: number): string {
  return value < 10 ? value.toPrecision(2) : Math.round(value).toLocaleString('en');
}

function createRoleTable(budgetedRows: readonly BudgetedRow[]): string {
  return reports.createTable(
    budgetedRows.map((item) => ({
      role: item.row.role,
      figure: item.row.what,
      kind: item.row.isControl ? 'control' : 'data',
      'worked out as': item.row.formula,
      'measured by': item.row.command,
      today: formatValue(item.today.value),
      target: `${formatValue(item.row.value)}${item.row.isExtrapolated ? ' *' : ''}`,
      budget: item.limit === undefined ? '' : formatValue(item.limit),
      verdict: isOverBudget(item) ? '**over**' : 'within',
      'carried by': item.row.mechanism,
    })),
  );
}

function createSizesTable(sizes: SizesFile): string {
  const keys = Object.keys(sizes.target) as (keyof rowsFile.Sizes)[];
  return reports.createTable(
    keys.map((size) => ({ size, today: sizes.today[size], target: sizes.target[size] })),
  );
}

function createSlopeTable(slopes: slopesFile.Slopes): string {
  const named = Object.entries(slopes).filter(
    (entry): entry is [string, slopesFile.Slopes['relayCpu']] =>
      typeof entry[1] === 'object' && 'perUnit' in entry[1],
  );
  return reports.createTable(
    named.map(([slope, line]) => ({
      slope,
      'per unit': line.perUnit.toPrecision(3),
      base: line.base.toPrecision(3),
      'measured from': Math.round(line.from),
      to: Math.round(line.to),
    })),
  );
}

/** Returns the encoded size in bytes of a zone's member list, which is sent after each change. */
function getListBytes(daemons: number): number {
  const member = (i: number): schemas.Member => ({
    daemonId: `region-one-a-${i}`,
    incarnation: 1_796_235_983_971 + i,
    availabilityZone: 'region-one-a',
    host: `10.0.0.${i}`,
    peerPort: 7_000,
    callerPort: 8_000,
    isLeaving: false,
    revision: 0,
    state: 'live',
  });
  const members = Array.from({ length: Math.round(daemons) }, (_, i) => member(i));
  return new peers.FrameWriter().encode(['result', 1, { members }]).length;
}

function createPage(sizes: SizesFile, slopes: slopesFile.Slopes): string {
  const today = rowsFile.createRows(slopes, sizes.today);
  const budgetedRows = rowsFile.createRows(slopes, sizes.target).map((row, i) => ({
    row,
    today: today[i]!,
    limit: rowsFile.findLimit(row, sizes.budget),
  }));
  const rowsOverBudget = budgetedRows.filter(isOverBudget);
  const listBytes = getListBytes(sizes.target.daemons / sizes.target.zones);
  return [
    '# Capacity',
    'Written by `npm run bench -- capacity` from `docs/measurements/*.json` and ' +
      '`packages/bench/capacity-sizes.json`; `npm run bench -- capacity --check` fails where this page ' +
      'and the figures disagree. Nothing here is typed by hand. A star marks a figure outside of the ' +
      'sizes that were measured.',
    '## Sizes',
    createSizesTable(sizes),
    '## What each role spends',
    'Control is held against the budget of a daemon; data is what callers ask for, held against one core.',
    createRoleTable(budgetedRows),
    '## Rows that break the budget, and what would mend them',
    ...outcomes.createRemedies(
      rowsOverBudget.map((item) => item.row),
      sizes.target,
      sizes.budget,
    ),
    '## Outcomes',
    ...outcomes.createOutcomes(sizes.target, sizes.budget, slopes, listBytes),
    '## Slopes',
    `Least-squares lines through at least three sizes, on ${describeMachine()}.`,
    createSlopeTable(slopes),
    ...fleetSweeps.createSweepSection(),
  ].join('\n\n');
}

function describeMachine(): string {
  const { machine } = reports.findResults<{ machine: ReturnType<typeof reports.getMachine> }>(
    'control',
  )!;
  return `${machine.cores} cores (${machine.model}), ${machine.memoryGb} GB, Node.js ${machine.node}`;
}

/** Writes the page; with `isCheck` it only compares, and fails when the page and the figures disagree. */
export async function run(isCheck: boolean): Promise<void> {
  const sizes = JSON.parse(fs.readFileSync(SIZES_FILE, 'utf8')) as SizesFile;
  const page = createPage(sizes, slopesFile.readSlopes());
  const text = await prettier.format(page, { parser: 'markdown', printWidth: 100 });
  if (!isCheck) {
    fs.writeFileSync(PAGE_FILE, text);
    process.stdout.write(`${PAGE_FILE} is written\n`);
    return;
  }
  const current = fs.existsSync(PAGE_FILE) ? fs.readFileSync(PAGE_FILE, 'utf8') : '';
  if (current !== text) {
    process.stderr.write(
      'docs/CAPACITY.md and the figures disagree; run npm run bench -- capacity\n',
    );
    process.exitCode = 1;
    return;
  }
  process.stdout.write('docs/CAPACITY.md agrees with the figures\n');
}
