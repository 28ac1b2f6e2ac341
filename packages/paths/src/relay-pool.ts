import type * as schemas from '@bramleyridge/schemas';

import type * as relayCandidates from './relay-candidate.js';

/** Bounds of the time for which a relay that failed is passed over, in milliseconds; it doubles with each failure. */
const MIN_REST_MS = 1_000;
const MAX_REST_MS = 4_000;

/** Maximum number of relays of each kind that are tried for one connection. */
const MAX_HOSTS = 3;
const MAX_RESERVES = 2;

/** A tunnel that a relay has opened to an upstream. */
export interface OpenedTunnel {
  readonly address: string;
  /** Whether it is for a check, and not for calls. */
  readonly isCheck?: boolean | undefined;
}

interface RelayState {
  /** Upstreams to which this host has tunnels open through it, each once for each tunnel. */
  readonly upstreams: string[];
  failures: number;
  restsUntil: number;
}

interface RankedRelay {
  readonly candidate: relayCandidates.RelayCandidate;
  /** Time for which it is still passed over, in milliseconds. */
  readonly restMs: number;
  readonly rank: readonly number[];
}

/** Dependencies of the relay pool. */
export interface RelayPoolOptions {
  readonly source: relayCandidates.RelaySource;
  readonly availabilityZone: string;
  readonly clock: schemas.Clock;
  readonly random: () => number;
}

/** Ranks the hosts that may relay connections for this host. */
export class RelayPool {
  private readonly states = new Map<string, RelayState>();

  public constructor(private readonly options: RelayPoolOptions) {}

  /**
   * Lists the relays to try for one connection, in this order: hosts before reserves, those with fewer tunnels of this
   * host first, so that many cut hosts spread over many relays. Relays that failed lately come last of all: where most
   * hosts are cut off, the reserves are reached without asking each of them.
   */
  public rank(place: relayCandidates.PlaceRule): relayCandidates.RelayCandidate[] {
    const { source } = this.options;
    const hosts = this.rankKind(source.listHosts(), place);
    const reserves = this.rankKind(source.listReserves(), place);
    const isFresh = ({ restMs }: RankedRelay) => restMs === 0;
    const fresh = [
      ...hosts.filter(isFresh).slice(0, MAX_HOSTS),
      ...reserves.filter(isFresh).slice(0, MAX_RESERVES),
    ];
    const resting = [...hosts, ...reserves].filter((item) => !isFresh(item));
    return [...fresh, ...resting]
      .slice(0, MAX_HOSTS + MAX_RESERVES)
      .map(({ candidate }) => candidate);
  }

  /**
   * Records that a relay has opened a tunnel to an upstream; the returned function records its end. One for a check does
   * not show that the relay has room for calls.
   */
  public recordOpened(
    address: string,
    { address: upstream, isCheck = false }: OpenedTunnel,
  ): () => void {
    const state = this.getState(address);
    state.upstreams.push(upstream);
    if (!isCheck) {
      state.failures = 0;
      state.restsUntil = -Infinity;
    }
    return () => {
      state.upstreams.splice(state.upstreams.indexOf(upstream), 1);
    };
  }

  /**
   * Records that an answer has stopped that came through another host. The relay may have lost its own path: it is passed
   * over for a while, since what goes on can't be sent again over another one.
   */
  public recordStopped(upstream: string): void {
    [...this.states]
      .filter(([, { upstreams }]) => upstreams.includes(upstream))
      .forEach(([address]) => this.recordFailure(address));
  }

  /** Records that a relay could not help. */
  public recordFailure(address: string): void {
    const state = this.getState(address);
    const restMs = Math.min(MAX_REST_MS, MIN_REST_MS * 2 ** state.failures);
    state.failures += 1;
    state.restsUntil = this.options.clock.now() + restMs;
  }

  /** Counts the open tunnels. */
  public countOpen(): number {
    return [...this.states.values()].reduce((sum, { upstreams }) => sum + upstreams.length, 0);
  }

  private rankKind(
    candidates: readonly relayCandidates.RelayCandidate[],
    place: relayCandidates.PlaceRule,
  ): RankedRelay[] {
    const { availabilityZone, clock, random } = this.options;
    const now = clock.now();
    return candidates
      .filter((item) => place.allows(item.availabilityZone))
      .map((candidate) => {
        const { upstreams = [], restsUntil = -Infinity } = this.states.get(candidate.address) ?? {};
        const restMs = Math.max(0, restsUntil - now);
        const isOtherZone = Number(candidate.availabilityZone !== availabilityZone);
        return { candidate, restMs, rank: [restMs, upstreams.length, isOtherZone, random()] };
      })
      .sort((left, right) => compare(left.rank, right.rank));
  }

  private getState(address: string): RelayState {
    let state = this.states.get(address);
    if (state === undefined) {
      state = { upstreams: [], failures: 0, restsUntil: -Infinity };
      this.states.set(address, state);
    }
    return state;
  }
}

function compare(left: readonly number[], right: readonly number[]): number {
  const at = left.findIndex((value, index) => value !== right[index]);
  return at === -1 ? 0 : left[at]! - right[at]!;
}
