import type * as http from 'node:http';

import type * as tap from 'tap';

import * as sites from './small-site.js';

/** Run time after which a bad call crashes its upstream, in milliseconds. */
const RUN_MS = 40;

/** Number of upstreams of each of the two services. */
const UPSTREAMS = 6;

/** Time that a crashed upstream takes to restart, in milliseconds. */
const RESTART_MS = 250;

/** A call that an upstream received. */
export interface Arrival {
  readonly body: string;
  /** Parts of its prompt, as the caller named them. */
  readonly parts: readonly string[];
  readonly at: number;
}

/** How upstreams crash and restart. */
export interface CrashOptions {
  /** Whether a call crashes its upstream. */
  readonly isBad: (call: Pick<Arrival, 'body' | 'parts'>) => boolean;
  /** Time that a crashed upstream takes to restart, in milliseconds. */
  readonly restartMs: number;
  /** Number of upstreams of each of the two services. */
  readonly upstreams: number;
}

const DEFAULT_OPTIONS: CrashOptions = {
  isBad: ({ body }) => body.startsWith('bad'),
  restartMs: RESTART_MS,
  upstreams: UPSTREAMS,
};

/** Upstreams that crash under bad calls and restart as new processes at the same address. */
export class CrashingUpstreams {
  public readonly arrivals: Arrival[] = [];
  /** The calls that crashed an upstream, with the times of the crashes. */
  public readonly crashes: Arrival[] = [];
  private processCount = 0;
  private isStopped = false;

  public constructor(
    private readonly site: sites.SmallSite,
    private readonly options: CrashOptions = DEFAULT_OPTIONS,
  ) {}

  /** Prevents further restarts of upstreams; a restart after the test would keep the test process running. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Starts one more upstream of a service. */
  public async add(service: string): Promise<void> {
    const name = this.createProcessName();
    const server: { address?: string } = {};
    server.address = await this.site.addUpstream(name, service, this.createAnswer(name, server));
  }

  /** Counts the sends of a call after a given time. */
  public countSince(body: string, since: number): number {
    return this.arrivals.filter((item) => item.body === body && item.at > since).length;
  }

  /** Counts the sends of calls with a part of their prompt after a given time. */
  public countPartSince(part: string, since: number): number {
    return this.arrivals.filter((item) => item.parts.includes(part) && item.at > since).length;
  }

  /** Lists the crashes of upstreams by calls with a part of their prompt, in order. */
  public listPartCrashes(part: string): Arrival[] {
    return this.crashes.filter((crash) => crash.parts.includes(part));
  }

  /** Lists the crashes of upstreams by a call, in order. */
  public listCrashes(body: string): Arrival[] {
    return this.crashes.filter((crash) => crash.body === body);
  }

  private createProcessName(): string {
    this.processCount += 1;
    return `boot-${this.processCount}`;
  }

  /**
   * Creates the request handler of one process. It runs only calls that are meant for this process, not for an earlier
   * one at its address.
   */
  private createAnswer(name: string, server: { address?: string }) {
    let isUp = true;
    return (req: http.IncomingMessage, res: http.ServerResponse): void => {
      let body = '';
      req.on('data', (part: Buffer) => {
        body += part.toString();
      });
      req.on('end', () => {
        const parts = (req.headers.parts?.toString() ?? '').split(',');
        this.arrivals.push({ body, parts, at: Date.now() });
        if (req.headers['meant-for'] !== name) {
          res.writeHead(421, { 'not-run': 'moved', 'content-length': 0 });
          res.end();
          return;
        }
        if (this.options.isBad({ body, parts })) {
          setTimeout(() => {
            if (isUp) {
              isUp = false;
              this.crashes.push({ body, parts, at: Date.now() });
              void this.restart(server);
            }
          }, RUN_MS);
          return;
        }
        setTimeout(() => answerSuccessfully(req, res), 2 * RUN_MS);
      });
    };
  }

  private async restart(server: { address?: string }): Promise<void> {
    const address = server.address!;
    this.site.closeUpstream(address);
    const { list } = this.site;
    const former = list.upstreams.find((item) => item.address === address)!;
    await new Promise((resolve) => {
      setTimeout(resolve, this.options.restartMs);
    });
    if (this.isStopped) {
      return;
    }
    const name = this.createProcessName();
    const listed = { ...former, upstreamId: name };
    list.upstreams = list.upstreams.map((item) => (item.address === address ? listed : item));
    await this.site.reopenUpstream(address, this.createAnswer(name, server));
  }
}

function answerSuccessfully(req: http.IncomingMessage, res: http.ServerResponse): void {
  const isStream = req.url!.startsWith('/drafts') || req.url!.startsWith('/checks');
  const body = isStream ? 'id: 1\ndata: x\n\n' : 'ok';
  res.writeHead(200, { 'call-id': req.headers['call-id'], 'content-length': body.length });
  res.end(body);
}

/**
 * Starts three core hosts, the given number of entry hosts and crashing upstreams of both services, and waits until all
 * hosts list them.
 */
export async function createCrashingSite(
  t: tap.Test,
  entryHosts: number,
  options: CrashOptions = DEFAULT_OPTIONS,
) {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  for (let i = 1; i < entryHosts; i += 1) {
    await site.addEntry();
  }
  const upstreams = new CrashingUpstreams(site, options);
  t.teardown(() => upstreams.stop());
  for (let i = 0; i < options.upstreams; i += 1) {
    await upstreams.add('app');
    await upstreams.add('engines');
  }
  await site.declare({});
  await waitUntilReady(site, options.upstreams);
  return { site, upstreams };
}

/** Waits until all entry hosts are ready and list all upstreams. */
export async function waitUntilReady(site: sites.SmallSite, upstreams = UPSTREAMS): Promise<void> {
  const hosts = [site.entry, ...site.others.map(({ host }) => host)];
  await site.until('ready', () =>
    hosts.every((host) => host.isReady() && host.directory.countLive() === 2 * upstreams),
  );
}
