import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import type * as undici from 'undici';

import * as boundedClients from './bounded-client.js';
import * as connectionLimits from './connection-limit.js';
import * as createConnectors from './create-connector.js';
import * as openTunnels from './open-tunnels.js';
import * as pathConnectors from './path-connector.js';
import * as pathStates from './path-state.js';
import * as relayCandidates from './relay-candidate.js';
import * as relayPools from './relay-pool.js';
import * as resetMonitors from './reset-monitor.js';
import * as silenceChecks from './silence-checks.js';
import * as silenceWatches from './silence-watch.js';
import * as trackedCalls from './tracked-calls.js';
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

/**
 * Time for which a call that can't be sent twice waits for the check of the path while an upstream is silent, in milliseconds;
 * above the margin of a probe.
 */
const SILENCE_CHECK_MS = 250;

/** Interval at which blocked paths are probed, in milliseconds. */
const REOPEN_INTERVAL_MS = 500;

/** Number of blocked paths that are probed at once; a host has some hundred descriptors for such purposes. */
const MAX_PROBES = 32;

/** Options of `UpstreamLinks`. */
export interface UpstreamLinksOptions {
  readonly availabilityZone: string;
  readonly relays: relayCandidates.RelaySource;
  readonly dialer?: upstreamDialers.UpstreamDialer | undefined;
  readonly openThrough?: openTunnels.OpenThrough | undefined;
  readonly connectMs: number;
  /** Maximum number of pooled connections to one upstream; unlimited by default. */
  readonly connections?: number | undefined;
  /** Returns the maximum number of connections to all upstreams, for calls and for other hosts; unlimited by default. */
  readonly findMaxConnections?: (() => number) | undefined;
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
  private readonly limit: connectionLimits.ConnectionLimit;
  private readonly watch: silenceWatches.SilenceWatch;
  private readonly silenceChecks: silenceChecks.SilenceChecks;
  private readonly pooled: boundedClients.ConnectedClients = new Set();
  private readonly agents = new Map<string, AgentPair>();
  private readonly calls: trackedCalls.TrackedCalls;
  private readonly checkedAt = new Map<string, number>();
  /** The check of an upstream that is silent, which runs before a call is sent. */
  private silenceCheck: Promise<void> | undefined;
  /** Connects to some upstreams that are under way, by their addresses. */
  private controls: ReadonlyMap<string, Promise<void>> | undefined;
  private isReopening = false;
  private isClosed = false;

  public constructor(private readonly options: UpstreamLinksOptions) {
    const { clock, log } = options;
    this.limit = new connectionLimits.ConnectionLimit(options.findMaxConnections, () =>
      this.findIdle(),
    );
    this.state = new pathStates.PathState(clock, log, () => this.handleBlocked());
    this.pool = new relayPools.RelayPool({ ...options, source: options.relays });
    this.tunnels = new openTunnels.TunnelOpener(
      this.pool,
      options.openThrough ?? openTunnels.createOpenThrough(),
      this.limit,
      clock,
      (result) => options.recordTunnel?.(result),
    );
    this.silenceChecks = new silenceChecks.SilenceChecks(
      // Another upstream may have been heard while the check waited.
      (address, since) => this.checkSilence(address, Math.max(since, this.watch.getHeardAt())),
      log,
    );
    this.watch = new silenceWatches.SilenceWatch(
      clock,
      (address, since, isFirst) => this.silenceChecks.add(address, { isFirst, since }),
      (at) => this.state.recordReached(at),
    );
    this.calls = new trackedCalls.TrackedCalls(this.watch);
    this.connector = new pathConnectors.PathConnector({
      dialer: options.dialer ?? new upstreamDialers.TcpDialer(),
      tunnels: this.tunnels,
      state: this.state,
      connectMs: options.connectMs,
      limit: this.limit,
      clock,
      onDirect: (_address, socket) => this.watch.watch(socket),
    });
  }

  /** Returns the client of pooled connections to an upstream, over the path that works now. */
  public getAgent(address: string, place = relayCandidates.ANY_PLACE): undici.Agent {
    const { direct, relayed } = this.getAgents(place);
    return this.state.choose(address) === 'direct' ? direct : relayed;
  }

  /**
   * Creates a client for one new connection to an upstream. What is sent on it can't be sent again over another path, so
   * that an upstream which is silent is checked before.
   */
  public createClient(
    origin: string,
    place = relayCandidates.ANY_PLACE,
  ): boundedClients.BoundedClient {
    return new boundedClients.BoundedClient(origin, {
      connect: this.createConnector(place, () => this.checkSilentUpstream()),
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  /**
   * Tracks a call to an upstream. `patienceMs` is how long its upstream may be silent before the path is checked;
   * without it, no check is made.
   */
  public track(address: string, patienceMs: number): trackedCalls.TrackedCall {
    return this.state.choose(address) === 'relayed'
      ? { signal: new AbortController().signal, begin: () => {}, end: () => {} }
      : this.calls.track(address, patienceMs);
  }

  /** Records that an answer of an upstream has stopped without an end, which may be due to the path. */
  public recordStopped(address: string): void {
    if (this.state.choose(address) === 'relayed') {
      this.pool.recordStopped(address);
    } else {
      this.watch.recordStopped(address);
    }
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
    if (others.length === 0) {
      return true;
    }
    this.controls ??= this.connectControls();
    const connects = [...this.controls].filter(([other]) => other !== address);
    return Promise.any(connects.map(([, connected]) => connected)).then(
      () => true,
      () => false,
    );
  }

  /** Connects to some upstreams; checks that begin meanwhile share the results, since many upstreams may end at once. */
  private connectControls(): Map<string, Promise<void>> {
    const addresses = this.options.listAddresses?.() ?? [];
    const start = Math.floor(this.options.random() * addresses.length);
    // One of them may be the upstream that is checked.
    const chosen = new Set([...addresses, ...addresses].slice(start, start + CONTROLS + 1));
    const controls = new Map(
      [...chosen].map((address) => [address, this.connector.dial(address).then(discard)]),
    );
    const { log } = this.options;
    schemas.runInBackground(
      async () => {
        await Promise.allSettled(controls.values());
        this.controls = undefined;
      },
      { log, step: 'connect-controls' },
    );
    return controls;
  }

  /** Returns whether another host reaches an upstream; `undefined` if none could tell. */
  private async isReachedByOthers(address: string): Promise<boolean | undefined> {
    try {
      discard(await this.tunnels.openForCheck(address));
      this.state.recordBlocked(address, 'connect');
      return true;
    } catch (err) {
      return err instanceof openTunnels.NoRelayError && err.isRefused ? false : undefined;
    }
  }

  /** Opens a connection of this host's own. */
  public dial(address: string): Promise<stream.Duplex> {
    return this.limit.open(() => this.connector.dial(address));
  }

  /** Opens one for a check of another host, which the limit does not hold up. */
  public dialForCheck(address: string): Promise<stream.Duplex> {
    return this.connector.dial(address);
  }

  /** Returns the number of connections for calls and for other hosts. */
  public countConnections(): number {
    return this.limit.countOpen();
  }

  /** Returns whether there is no room for another connection. */
  public isFull(): boolean {
    return this.limit.isFull();
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
    this.silenceChecks.stop();
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
    const options = {
      connect: this.createConnector(place),
      connections: this.options.connections ?? null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      // The sender of a call sets its time limits.
      bodyTimeout: 0,
      headersTimeout: 0,
    };
    return boundedClients.createBoundedAgent(options, this.pooled);
  }

  /** Returns a pooled connection that no call uses; `undefined` if there is none. */
  private findIdle(): stream.Duplex | undefined {
    for (const client of this.pooled) {
      const idle = client.findIdle();
      if (idle !== undefined) {
        return idle;
      }
    }
    return undefined;
  }

  private createConnector(
    place: relayCandidates.PlaceRule,
    prepare: () => Promise<void> = () => Promise.resolve(),
  ): undici.buildConnector.connector {
    return createConnectors.createConnector(async (address) => {
      await prepare();
      const socket = await this.connector.connect(address, place);
      this.resets.monitor(socket, address);
      return socket;
    });
  }

  /** Waits for a while for the check of an upstream that is silent, if there is one and it was not checked lately. */
  private async checkSilentUpstream(): Promise<void> {
    const silent = this.state.isCutOff() ? undefined : this.watch.takeSilent();
    if (silent !== undefined) {
      const { address, since } = silent;
      const end = () => {
        this.silenceCheck = undefined;
      };
      this.silenceCheck = this.checkSilence(address, since).finally(end);
      const task = { log: this.options.log, step: 'check-silence', peer: address };
      const { silenceCheck } = this;
      schemas.runInBackground(() => silenceCheck, task);
    }
    if (this.silenceCheck !== undefined) {
      const late = this.options.clock.sleep(SILENCE_CHECK_MS);
      await Promise.race([this.silenceCheck.catch(() => {}), late]);
    }
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
    this.calls.abortBlocked((address) => this.state.choose(address) === 'relayed');
    if (!this.isReopening && !this.isClosed) {
      const { log } = this.options;
      schemas.runInBackground(() => this.reopen(), { log, step: 'reopen-paths' });
    }
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
      const probeNext = async (): Promise<void> => {
        for (let next = others.pop(); next !== undefined; next = others.pop()) {
          await this.probe(next);
        }
      };
      await Promise.all(Array.from({ length: MAX_PROBES }, probeNext));
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
