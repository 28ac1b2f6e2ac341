import type * as stream from 'node:stream';

import type * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';

import type * as upstreamLinks from './upstream-links.js';

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
  private opened = 0;
  private isStopping = false;

  public constructor(private readonly options: TunnelServiceOptions) {}

  /** Counts the connections relayed now. */
  public countOpen(): number {
    return this.opened;
  }

  /**
   * Opens no more connections, and waits until those that are open have ended, for `timeoutMs` at most: a host that stops
   * as planned must not cut the calls of others.
   */
  public async drain(clock: schemas.Clock, timeoutMs: number): Promise<void> {
    this.isStopping = true;
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
  }: peers.TunnelRequest): Promise<stream.Duplex | Exclude<peers.TunnelResult, 'connected'>> {
    const { isListed, links, maxTunnels } = this.options;
    if (this.isStopping || this.opened >= maxTunnels) {
      return 'busy';
    }
    if (!isListed(address)) {
      return 'unlisted';
    }
    if (links.state.choose(address) === 'relayed') {
      return 'cut';
    }
    this.opened += 1;
    try {
      const socket = await links.dial(address);
      socket.once('close', () => this.end());
      return socket;
    } catch (err) {
      this.end();
      // This host may be cut off as well and not know it, since it has had no calls of its own.
      links.checkPath(address);
      return (err as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
    }
  }

  private end(): void {
    this.opened -= 1;
    this.ended.notify();
  }
}
