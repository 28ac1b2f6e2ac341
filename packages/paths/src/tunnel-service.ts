import type * as stream from 'node:stream';

import type * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';

import * as connectionLimits from './connection-limit.js';
import type * as upstreamLinks from './upstream-links.js';

/** Number of connections for checks of other hosts that a host without room relays, and their longest time in milliseconds. */
const MAX_CHECKS = 16;
const CHECK_MS = 1_000;

/** Options of `TunnelService`. */
export interface TunnelServiceOptions {
  readonly links: upstreamLinks.UpstreamLinks;
  /** Returns whether an address is that of an upstream; true on a host without a list. */
  readonly isListed: (address: string) => boolean;
  /** Maximum number of connections relayed at once. */
  readonly maxTunnels: number;
  /** Called with the result of each request. */
  readonly record: (result: peers.TunnelResult) => void;
}

/**
 * Opens connections to upstreams for other hosts. It connects by itself only, never through a further host, so tunnels
 * can't form a circle.
 */
export class TunnelService {
  private readonly ended = new schemas.ChangeSignal();
  private readonly stopping = new AbortController();
  private opened = 0;
  /** Number of connections for checks that were opened without room for them. */
  private checks = 0;

  public constructor(private readonly options: TunnelServiceOptions) {}

  /** Aborted when this host stops as planned. */
  public get leaving(): AbortSignal {
    return this.stopping.signal;
  }

  /** Counts the connections relayed now. */
  public countOpen(): number {
    return this.opened;
  }

  /**
   * Opens no more connections, asks for the end of those that are open, and waits for it for `timeoutMs` at most: a host
   * that stops as planned must not cut the calls of others.
   */
  public async drain(clock: schemas.Clock, timeoutMs: number): Promise<void> {
    this.stopping.abort();
    const end = clock.now() + timeoutMs;
    while (this.opened > 0 && clock.now() < end) {
      await this.ended.wait(clock, end - clock.now());
    }
  }

  /** Opens a connection for a peer, or returns why not. */
  public async open(
    req: peers.TunnelRequest,
  ): Promise<stream.Duplex | Exclude<peers.TunnelResult, 'connected'>> {
    const result = await this.connect(req);
    this.options.record(typeof result === 'string' ? result : 'connected');
    return result;
  }

  private async connect({
    address,
    isCheck = false,
  }: peers.TunnelRequest): Promise<stream.Duplex | Exclude<peers.TunnelResult, 'connected'>> {
    const { isListed, links, maxTunnels } = this.options;
    const isFull = this.opened >= maxTunnels || links.isFull();
    if (this.leaving.aborted || (isFull && !(isCheck && this.checks < MAX_CHECKS))) {
      return 'busy';
    }
    if (!isListed(address)) {
      return 'unlisted';
    }
    if (links.state.choose(address) === 'relayed') {
      return 'cut';
    }
    try {
      return await (isFull ? this.openForCheck(address) : this.openForCall(address));
    } catch (err) {
      if (err instanceof connectionLimits.ConnectionLimitError) {
        return 'busy';
      }
      // This host may be cut off as well and not know it, since it has had no calls of its own.
      links.checkPath(address);
      return (err as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
    }
  }

  private async openForCall(address: string): Promise<stream.Duplex> {
    this.opened += 1;
    try {
      const socket = await this.options.links.dial(address);
      return socket.once('close', () => this.end());
    } catch (err) {
      this.end();
      throw err;
    }
  }

  private async openForCheck(address: string): Promise<stream.Duplex> {
    this.checks += 1;
    const end = () => {
      this.checks -= 1;
    };
    try {
      const socket = await this.options.links.dialForCheck(address);
      const timer = setTimeout(() => socket.destroy(), CHECK_MS);
      return socket.once('close', () => {
        clearTimeout(timer);
        end();
      });
    } catch (err) {
      end();
      throw err;
    }
  }

  private end(): void {
    this.opened -= 1;
    this.ended.notify();
  }
}
