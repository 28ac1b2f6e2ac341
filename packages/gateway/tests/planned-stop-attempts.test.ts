import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as slowUpstreams from './support/slow-upstream.js';
import * as smallSites from './support/small-site.js';

/** Time for a planned stop, as in the settings of the site, in milliseconds. */
const STOP_MS = 8_000;

/** Time limit of the routes, in milliseconds. */
const LIMIT_MS = 20_000;

/** Number of calls that an upstream runs at once. */
const SLOTS = 4;

/** Time for which calls fill an upstream, in milliseconds; it ends while the host still accepts calls. */
const FILL_MS = 2_000;

/** Time from the calls that wait to the stop, in milliseconds. */
const WAIT_MS = 800;

/** Time within which a call that waits is refused once the stop begins, in milliseconds. */
const AT_ONCE_MS = 1_000;

interface Answer {
  readonly status: number;
  readonly outcome: string;
}

const NOT_RUN: Answer = { status: 503, outcome: 'not-run' };

const clock = new schemas.SystemClock();

/** A site with one upstream, whose slots are taken. */
class FullSite {
  public readonly site: smallSites.SmallSite;
  public readonly upstream = new slowUpstreams.SlowUpstream((path) => getRunMs(path));
  /** Paths of the calls that were refused by a further upstream. */
  public readonly refused: string[] = [];
  private filling: Promise<Answer>[] = [];

  public constructor(t: tap.Test) {
    this.site = new smallSites.SmallSite(t, 'first');
    this.site.capacitySharing = { teamWeights: {} };
  }

  /** Starts the site; with `isCutOff` the host that stops connects through another one. */
  public async start(isCutOff: boolean): Promise<void> {
    const { site, upstream } = this;
    await site.start(3);
    await site.addEntry();
    await site.addUpstream('app-1', 'app', (req, res) => upstream.answer(req, res));
    const { routes } = smallSites.createConfig(1);
    await site.declare({
      routes: routes.map((route) => ({ ...route, timeoutMs: LIMIT_MS, targetMs: LIMIT_MS })),
    });
    await site.until('served', async () => (await this.call('/plain/ready')).status === 200);
    if (isCutOff) {
      site.dialers.get('entry')!.cut('refused');
      await site.until('relays known', () => site.entry.countRelays() === 1);
      await site.until('relayed', async () => {
        // The first calls find the own path refused; those that run on it then are sent again.
        await Promise.all(['/once/ready', '/plain/ready'].map((path) => this.call(path)));
        return site.others[0]!.host.countRelayed() > 0;
      });
    }
  }

  /** Takes all slots. */
  public async fill(): Promise<void> {
    this.filling = Array.from({ length: SLOTS }, () => this.call('/once/fill'));
    await this.site.until('full', () => this.upstream.list('/once/fill').length === SLOTS);
  }

  /** Adds an upstream that refuses each call without running it. */
  public async addRefusing(): Promise<void> {
    await this.site.addUpstream('app-2', 'app', (req, res) => {
      req.resume();
      this.refused.push(req.url ?? '');
      const headers = { 'call-id': String(req.headers['call-id'] ?? ''), 'not-run': '1' };
      res.writeHead(503, headers).end();
    });
  }

  /** Makes a call; resolves to status 0 if its connection ends without a whole answer. */
  public async call(path: string): Promise<Answer> {
    return this.site.call(path, {}, `body of ${path}`).then(
      ({ headers, status }) => ({ status, outcome: String(headers[schemas.OUTCOME_HEADER] ?? '') }),
      () => ({ status: 0, outcome: '' }),
    );
  }

  /** Begins a planned stop; the host is killed at the end of the time for it. Resolves at that end. */
  public async stop(): Promise<void> {
    const { entry } = this.site;
    schemas.runInBackground(() => entry.stop(), { log: new schemas.SilentLog(), step: 'stop' });
    await clock.sleep(STOP_MS);
    entry.kill();
  }

  /** Counts the calls that took the slots and were served. */
  public async countFilled(): Promise<number> {
    return (await Promise.all(this.filling)).filter(({ status }) => status === 200).length;
  }
}

function getRunMs(path: string): number {
  if (path.includes('long')) {
    return LIMIT_MS;
  }
  return path.includes('fill') ? FILL_MS : 20;
}

interface Case {
  readonly name: string;
  /** Whether an upstream refuses the calls before they wait. */
  readonly isRefused?: boolean;
  /** Whether the host has no leader once the calls wait. */
  readonly isAlone?: boolean;
}

const CASES: readonly Case[] = [
  { name: 'a slot comes free during a stop' },
  { name: 'a slot comes free during the stop of a host without a leader', isAlone: true },
  { name: 'calls that an upstream refused wait during a stop', isRefused: true },
];

async function check(t: tap.Test, { isAlone, isRefused }: Case, isCutOff: boolean): Promise<void> {
  const full = new FullSite(t);
  const { site, upstream } = full;
  await full.start(isCutOff);
  if (isRefused === true) {
    await full.addRefusing();
    await site.until('listed', async () => {
      await full.call('/plain/ready');
      return full.refused.length > 0;
    });
  }
  await full.fill();
  const paths = ['/once/long', '/plain/long'];
  const endedAt: number[] = [];
  const waiting = paths.map((path) =>
    full.call(path).finally(() => {
      endedAt.push(clock.now());
    }),
  );
  await clock.sleep(WAIT_MS);
  if (isRefused === true) {
    t.same(
      paths.filter((path) => !full.refused.includes(path)),
      [],
      'both were refused by an upstream',
    );
  }
  if (isAlone === true) {
    ['127.0.1.1', '127.0.1.2', '127.0.1.3'].forEach((ip) => site.stopCore(ip));
  }
  const stoppedAt = clock.now();
  await full.stop();
  t.same(await Promise.all(waiting), [NOT_RUN, NOT_RUN]);
  t.ok(Math.max(...endedAt) < stoppedAt + AT_ONCE_MS, 'they are refused at once');
  t.same(
    upstream.runs.filter(({ path }) => path.includes('long')),
    [],
    'none of them was passed on',
  );
  t.equal(await full.countFilled(), SLOTS, 'the calls that ran are served');
}

// Guards against calls that are passed on during a planned stop, after a wait or another attempt, and are cut at its end.
for (const item of CASES) {
  void tap.default.test(`${item.name}, over the host itself`, (t) => check(t, item, false));
  void tap.default.test(`${item.name}, through another host`, (t) => check(t, item, true));
}
