import type * as http from 'node:http';

import type * as tap from 'tap';

import * as sites from './small-site.js';

/** How long a call runs before it ends its upstream, in milliseconds. */
const RUN_MS = 40;

/** How many upstreams each of the two services has. */
const UPSTREAMS = 6;

/** How long an upstream that ended is away, in milliseconds. */
const AWAY_MS = 250;

/** A call at an upstream. */
export interface Arrival {
  readonly body: string;
  readonly at: number;
}

/** Upstreams that end under bad calls and come back as other processes at the same address. */
export class CrashingUpstreams {
  public readonly arrivals: Arrival[] = [];
  /** When which call ended an upstream. */
  public readonly ends: Arrival[] = [];
  private boots = 0;
  private isOver = false;

  public constructor(private readonly site: sites.SmallSite) {}

  /** Lets no upstream come back; one that did after the test would keep its process alive. */
  public stop(): void {
    this.isOver = true;
  }

  /** Starts one more upstream of a service. */
  public async add(service: string): Promise<void> {
    const name = this.createName();
    const server: { address?: string } = {};
    server.address = await this.site.addUpstream(name, service, this.createAnswer(name, server));
  }

  /** How often a call was sent after some moment. */
  public countSince(body: string, since: number): number {
    return this.arrivals.filter((item) => item.body === body && item.at > since).length;
  }

  /** When a call ended upstreams, in order. */
  public listEnds(body: string): Arrival[] {
    return this.ends.filter((end) => end.body === body);
  }

  private createName(): string {
    this.boots += 1;
    return `boot-${this.boots}`;
  }

  /** A process runs only calls that are meant for it, not for one that had its address before. */
  private createAnswer(name: string, server: { address?: string }) {
    let isUp = true;
    return (req: http.IncomingMessage, res: http.ServerResponse): void => {
      let body = '';
      req.on('data', (part: Buffer) => {
        body += part.toString();
      });
      req.on('end', () => {
        this.arrivals.push({ body, at: Date.now() });
        if (req.headers['meant-for'] !== name) {
          res.writeHead(421, { 'not-run': 'moved', 'content-length': 0 });
          res.end();
          return;
        }
        if (body.startsWith('bad')) {
          setTimeout(() => {
            if (isUp) {
              isUp = false;
              this.ends.push({ body, at: Date.now() });
              void this.restart(server);
            }
          }, RUN_MS);
          return;
        }
        setTimeout(() => answerWell(req, res), 2 * RUN_MS);
      });
    };
  }

  private async restart(server: { address?: string }): Promise<void> {
    const address = server.address!;
    this.site.closeUpstream(address);
    const { list } = this.site;
    const former = list.upstreams.find((item) => item.address === address)!;
    await new Promise((resolve) => {
      setTimeout(resolve, AWAY_MS);
    });
    if (this.isOver) {
      return;
    }
    const name = this.createName();
    const listed = { ...former, upstreamId: name };
    list.upstreams = list.upstreams.map((item) => (item.address === address ? listed : item));
    await this.site.reopenUpstream(address, this.createAnswer(name, server));
  }
}

function answerWell(req: http.IncomingMessage, res: http.ServerResponse): void {
  const isStream = req.url!.startsWith('/drafts') || req.url!.startsWith('/checks');
  const body = isStream ? 'id: 1\ndata: x\n\n' : 'ok';
  res.writeHead(200, { 'call-id': req.headers['call-id'], 'content-length': body.length });
  res.end(body);
}

/** Three core hosts, so many entry hosts, and fragile upstreams of both services, once all hosts know them. */
export async function createCrashingSite(t: tap.Test, entryHosts: number) {
  const site = new sites.SmallSite(t);
  await site.start(3);
  for (let i = 1; i < entryHosts; i += 1) {
    await site.addEntry();
  }
  const upstreams = new CrashingUpstreams(site);
  t.teardown(() => upstreams.stop());
  for (let i = 0; i < UPSTREAMS; i += 1) {
    await upstreams.add('app');
    await upstreams.add('engines');
  }
  await site.declare({});
  await waitUntilReady(site);
  return { site, upstreams };
}

/** Waits until all entry hosts are ready and know all upstreams. */
export async function waitUntilReady(site: sites.SmallSite): Promise<void> {
  const hosts = [site.entry, ...site.others.map(({ host }) => host)];
  await site.until('served', () =>
    hosts.every((host) => host.isReady() && host.directory.countLive() === 2 * UPSTREAMS),
  );
}
