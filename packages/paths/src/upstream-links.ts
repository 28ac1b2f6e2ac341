import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import type * as undici from 'undici';

import * as boundedClients from './bounded-client.js';
import * as createConnectors from './create-connector.js';
import * as openTunnels from './open-tunnels.js';
import * as pathConnectors from './path-connector.js';
import * as pathErrors from './path-error.js';
import * as pathStates from './path-state.js';
import * as relayCandidates from './relay-candidate.js';
import * as relayPools from './relay-pool.js';
import * as resetMonitors from './reset-monitor.js';
import * as silenceWatches from './silence-watch.js';
import * as upstreamDialers from './upstream-dialer.js';
import * as upstreamProbes from './upstream-probe.js';

/** How long an idle connection to an upstream is kept, in milliseconds; an upstream may announce a shorter time. */
const KEEP_ALIVE_MS = 4_000;

/** Time limit for the answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** Time by which the answer to a probe of this host may be later than one through another host, in milliseconds. */
const PROBE_MARGIN_MS = 150;

/** Shortest time between two checks of one path, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Number of other upstreams that a host tries to reach when one refuses its connection; some may have ended, too. */
const CONTROLS = 6;

/**
 * Time for which other hosts are asked whether they reach an upstream that refuses connections, in milliseconds. A call
 * that ends upstreams must not run again before it is known.
 */
const OTHERS_TIMEOUT_MS = 25;

/** The same where this host reaches no other upstream either, and may be cut off, in milliseconds. */
const OTHERS_TIMEOUT_IF_CUT_MS = 100;

/** Interval at which blocked paths are probed, in milliseconds. */
const REOPEN_INTERVAL_MS = 500;

/** Options of `UpstreamLinks`. */
export interface UpstreamLinksOptions {
  readonly availabilityZone: string;
  readonly relays: relayCandidates.RelaySource;
  readonly dialer?: upstreamDialers.UpstreamDialer | undefined;
  readonly openThrough?: openTunnels.OpenThrough | undefined;
  readonly connectMs: number;
  /** Maximum number of pooled connections to one upstream; unlimited by default. */
  readonly connections?: number | undefined;
  /** Returns the request that probes an upstream; `undefined` if the upstream is not listed. */
  readonly findProbe: (address: string) => upstreamProbes.ProbeRequest | undefined;
  /** Takes a permit for a probe, which an upstream counts like a call; returns whether there is one. */
  readonly admitProbe?: ((address: string) => Promise<boolean>) | undefined;
  /** Lists the addresses of the upstreams; none by default. */
  readonly listAddresses?: (() => readonly string[]) | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  /** Called with the result of each request for a tunnel. */
  readonly recordTunnel?: ((result: string) => void) | undefined;
}

/** The HTTP clients for calls whose bytes may be processed in certain places. */
interface AgentPair {
  readonly direct: undici.Agent;
  readonly relayed: undici.Agent;
}

/** A call that is sent to an upstream. */
export interface TrackedCall {
  /** Aborted when the connection of the call turns out to be blocked; never for a call over another host. */
  readonly signal: AbortSignal;
  /** Records that its answer has begun; how it goes on may depend on its reader. */
  readonly begin: () => void;
  readonly end: () => void;
}

/**
 * The connections of a host to upstreams. A host that has lost its own paths while other hosts have theirs connects
 * through those: only the bytes of a connection take the other way. Choice, permits, deadlines and retries stay where
 * the call came in, so that a relayed call differs from any other in its connection alone.
 */
export class UpstreamLinks {
  public readonly state: pathStates.PathState;
  public readonly resets = new resetMonitors.ResetMonitor();
  private readonly pool: relayPools.RelayPool;
  private readonly tunnels: openTunnels.TunnelOpener;
  private readonly connector: pathConnectors.PathConnector;
  private readonly watch: silenceWatches.SilenceWatch;
  private readonly agents = new Map<string, AgentPair>();
  private readonly openCalls = new Map<string, Set<AbortController>>();
  private readonly checkedAt = new Map<string, number>();
  private isReopening = false;
  private isClosed = false;

  public constructor(private readonly options: UpstreamLinksOptions) {
    const { clock, log } = options;
    this.state = new pathStates.PathState(clock, log, () => this.handleBlocked());
    this.pool = new relayPools.RelayPool({ ...options, source: options.relays });
    this.tunnels = new openTunnels.TunnelOpener(
      this.pool,
      options.openThrough ?? openTunnels.createOpenThrough(),
      clock,
      (result) => options.recordTunnel?.(result),
    );
    this.watch = new silenceWatches.SilenceWatch(
      clock,
      (address, since) => {
        const task = { log, step: 'check-silence', peer: address };
        schemas.runInBackground(() => this.checkSilence(address, since), task);
      },
      () => this.state.recordReached(),
    );
    this.connector = new pathConnectors.PathConnector({
      dialer: options.dialer ?? new upstreamDialers.TcpDialer(),
      tunnels: this.tunnels,
      state: this.state,
      connectMs: options.connectMs,
      clock,
      onDirect: (_address, socket) => this.watch.watch(socket),
    });
  }

  /** Returns the client of pooled connections to an upstream, over the path that works now. */
  public getAgent(address: string, place = relayCandidates.ANY_PLACE): undici.Agent {
    const { direct, relayed } = this.getAgents(place);
    return this.state.choose(address) === 'direct' ? direct : relayed;
  }

  /** Creates a client for one new connection to an upstream. */
  public createClient(origin: string, place = relayCandidates.ANY_PLACE): undici.Client {
    return new boundedClients.BoundedClient(origin, {
      connect: this.createConnector(place),
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  /**
   * Tracks a call to an upstream. `patienceMs` is how long its upstream may be silent before the path is checked;
   * without it, no check is made.
   */
  public track(address: string, patienceMs: number): TrackedCall {
    const abort = new AbortController();
    if (this.state.choose(address) === 'relayed') {
      return { signal: abort.signal, begin: () => {}, end: () => {} };
    }
    const unwatch = this.watch.begin(address, patienceMs);
    const open = this.openCalls.get(address) ?? new Set();
    this.openCalls.set(address, open);
    open.add(abort);
    return {
      signal: abort.signal,
      begin: unwatch,
      end: () => {
        unwatch();
        open.delete(abort);
        if (open.size === 0 && this.openCalls.get(address) === open) {
          this.openCalls.delete(address);
        }
      },
    };
  }

  /**
   * Returns whether a process listens at an address, as far as any host can tell: an address that does not answer may
   * be behind a partition, and one that refuses connections may refuse those of this host only.
   */
  public async isListening(address: string): Promise<boolean> {
    try {
      discard(await this.connector.dial(address));
      return true;
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== 'ECONNREFUSED') {
        return true;
      }
    }
    const reachedByOthers = this.isReachedByOthers(address);
    const isSound = await this.reachesAnother(address);
    const timeoutMs = isSound ? OTHERS_TIMEOUT_MS : OTHERS_TIMEOUT_IF_CUT_MS;
    const late = this.options.clock.sleep(timeoutMs).then(() => undefined);
    return (await Promise.race([reachedByOthers, late])) ?? this.state.isCutOff();
  }

  /**
   * Returns whether this host can connect to some other upstream; true if it knows none. A host that is cut off has all
   * its connections refused, and would take every upstream for ended.
   */
  private async reachesAnother(address: string): Promise<boolean> {
    const others = (this.options.listAddresses?.() ?? []).filter((other) => other !== address);
    const start = Math.floor(this.options.random() * others.length);
    const controls = [...others, ...others].slice(start, start + CONTROLS);
    if (others.length === 0) {
      return true;
    }
    const connects = controls.map(async (other) => discard(await this.connector.dial(other)));
    return Promise.any(connects).then(
      () => true,
      () => false,
    );
  }

  /** Returns whether another host reaches an upstream; `undefined` if none could tell. */
  private async isReachedByOthers(address: string): Promise<boolean | undefined> {
    try {
      discard(await this.tunnels.open(address, relayCandidates.ANY_PLACE));
      this.state.recordBlocked(address, 'connect');
      return true;
    } catch (err) {
      return err instanceof openTunnels.NoRelayError && err.isRefused ? false : undefined;
    }
  }

  /** Opens a connection of this host's own. */
  public dial(address: string): Promise<stream.Duplex> {
    return this.connector.dial(address);
  }

  /** Checks whether another host reaches an upstream that this one has just failed to reach. */
  public checkPath(address: string): void {
    const now = this.options.clock.now();
    if (now - (this.checkedAt.get(address) ?? -Infinity) < CHECK_INTERVAL_MS) {
      return;
    }
    this.checkedAt.set(address, now);
    const { log } = this.options;
    const task = { log, step: 'check-path', peer: address };
    schemas.runInBackground(() => this.isReachedByOthers(address), task);
  }

  /** Counts the open connections through other hosts. */
  public countTunnels(): number {
    return this.pool.countOpen();
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    this.isClosed = true;
    this.watch.stop();
    const agents = [...this.agents.values()].flatMap(({ direct, relayed }) => [direct, relayed]);
    await Promise.all(agents.map((agent) => agent.destroy()));
  }

  private getAgents(place: relayCandidates.PlaceRule): AgentPair {
    let pair = this.agents.get(place.key);
    if (pair === undefined) {
      pair = { direct: this.createAgent(place), relayed: this.createAgent(place) };
      this.agents.set(place.key, pair);
    }
    return pair;
  }

  private createAgent(place: relayCandidates.PlaceRule): undici.Agent {
    return boundedClients.createBoundedAgent({
      connect: this.createConnector(place),
      connections: this.options.connections ?? null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      // The sender of a call sets its time limits.
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  private createConnector(place: relayCandidates.PlaceRule): undici.buildConnector.connector {
    return createConnectors.createConnector(async (address) => {
      const socket = await this.connector.connect(address, place);
      this.resets.monitor(socket, address);
      return socket;
    });
  }

  /** Asks a silent upstream over both paths; if only this host's own is silent, it is blocked. */
  private async checkSilence(address: string, since: number): Promise<void> {
    const { clock, findProbe } = this.options;
    const probe = findProbe(address);
    if (probe === undefined || this.state.choose(address) === 'relayed') {
      return;
    }
    const own = this.isAnswered(address, probe, () => this.connector.dial(address));
    const relayed = this.isAnsweredThroughOthers(address, probe);
    const first = await Promise.race([own, relayed]);
    if (!(await relayed)) {
      return;
    }
    const late = clock.sleep(first ? PROBE_MARGIN_MS : 0).then(() => false);
    if (await Promise.race([own, late])) {
      this.state.recordOpen(address);
    } else {
      this.state.recordSilence(address, since);
    }
  }

  /**
   * Returns whether an upstream answers through any of several relays. Those through which it is silent are passed over:
   * they may be cut off as well, and then accept connections that lead nowhere.
   */
  private async isAnsweredThroughOthers(
    address: string,
    probe: upstreamProbes.ProbeRequest,
  ): Promise<boolean> {
    const attempts = this.tunnels
      .listAttempts(address, relayCandidates.ANY_PLACE)
      .map(async ({ open, relay }) => {
        if (!(await this.isAnswered(address, probe, open))) {
          this.pool.recordFailure(relay);
          throw new Error('the upstream is silent');
        }
        return true;
      });
    return Promise.any(attempts).catch(() => false);
  }

  private async isAnswered(
    address: string,
    probe: upstreamProbes.ProbeRequest,
    open: () => Promise<stream.Duplex>,
  ): Promise<boolean> {
    const isAdmitted = (await this.options.admitProbe?.(address)) ?? true;
    return isAdmitted && upstreamProbes.isAnswered(address, probe, open, PROBE_TIMEOUT_MS);
  }

  /** Aborts the calls on blocked paths, and looks for the time at which the paths are open again. */
  private handleBlocked(): void {
    this.abortBlockedCalls();
    if (!this.isReopening && !this.isClosed) {
      const { log } = this.options;
      schemas.runInBackground(() => this.reopen(), { log, step: 'reopen-paths' });
    }
  }

  private abortBlockedCalls(): void {
    [...this.openCalls]
      .filter(([address]) => this.state.choose(address) === 'relayed')
      .forEach(([address, calls]) => {
        calls.forEach((call) => call.abort(new pathErrors.PathBlockedError(address)));
      });
  }

  private async reopen(): Promise<void> {
    const { clock, log } = this.options;
    this.isReopening = true;
    while (this.state.listBlocked().length > 0 && !this.isClosed) {
      await clock.sleep(REOPEN_INTERVAL_MS);
      await schemas.runRound(() => this.probeBlocked(), { log, step: 'reopen-paths' });
    }
    this.isReopening = false;
  }

  /** Probes one blocked path, and the others if it is open again. */
  private async probeBlocked(): Promise<void> {
    const { findProbe, random } = this.options;
    this.state
      .listBlocked()
      .filter((address) => findProbe(address) === undefined)
      .forEach((address) => this.state.forget(address));
    const blocked = this.state.listBlocked();
    const first = blocked[Math.floor(random() * blocked.length)];
    if (first !== undefined && (await this.probe(first))) {
      const others = blocked.filter((address) => address !== first);
      await Promise.all(others.map((address) => this.probe(address)));
    }
  }

  private async probe(address: string): Promise<boolean> {
    const probe = this.options.findProbe(address);
    const isOpen =
      probe !== undefined &&
      (await this.isAnswered(address, probe, () => this.connector.dial(address)));
    if (isOpen) {
      this.state.recordOpen(address);
    }
    return isOpen;
  }
}

function discard(socket: stream.Duplex): void {
  socket.on('error', () => {});
  socket.destroy();
}
