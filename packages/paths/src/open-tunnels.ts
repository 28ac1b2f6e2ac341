import type * as stream from 'node:stream';

import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';

import type * as connectionLimits from './connection-limit.js';
import * as firstSuccess from './first-success.js';
import * as relayCandidates from './relay-candidate.js';
import type * as relayPools from './relay-pool.js';

/** Time after which the next relay is tried beside one that has not answered, in milliseconds. */
const STAGGER_MS = 40;

/** Time limit for a relay's connect to the upstream, in milliseconds. */
const RELAY_CONNECT_MS = 150;

/** Time limit for a relay's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500;

/** Results that show that the relay itself can't help, whatever the state of the upstream. */
const RELAY_FAILURES: ReadonlySet<string> = new Set(['lost', 'busy', 'cut']);

/** Opens a tunnel through one relay. */
export type OpenThrough = (
  relay: relayCandidates.RelayCandidate,
  req: peers.TunnelRequest,
  timeoutMs: number,
) => Promise<stream.Duplex>;

/** Creates the function that opens tunnels over the network. */
export function createOpenThrough(keyring?: peers.Keyring): OpenThrough {
  return ({ address }, req, timeoutMs) => {
    const { host, port } = schemas.splitAddress(address);
    return peers.openTunnel({ host, port, keyring, timeoutMs }, req);
  };
}

/** Why no relay has opened a tunnel. */
export class NoRelayError extends Error {
  public override readonly name = 'NoRelayError';

  public constructor(
    /** Whether a relay that reaches upstreams had its connection refused there. */
    public readonly isRefused: boolean,
    cause?: unknown,
  ) {
    super('no other host has opened a connection to the upstream', { cause });
  }
}

type TunnelTarget = Pick<peers.TunnelRequest, 'address' | 'isCheck'>;

/** Opens connections to upstreams through other hosts. */
export class TunnelOpener {
  public constructor(
    private readonly pool: relayPools.RelayPool,
    private readonly openThrough: OpenThrough,
    private readonly limit: connectionLimits.ConnectionLimit,
    private readonly clock: schemas.Clock,
    private readonly record: (result: string) => void,
  ) {}

  /**
   * Lists functions that open a connection each through another relay, for checks, which the limit does not hold up; each
   * records whether its relay could help.
   */
  public listAttempts(
    address: string,
    place: relayCandidates.PlaceRule,
  ): { readonly relay: string; readonly open: () => Promise<stream.Duplex> }[] {
    return this.pool.rank(place).map((relay) => ({
      relay: relay.address,
      open: () => this.openAt(relay, { address, isCheck: true }, () => {}),
    }));
  }

  /** Opens a connection through the first of several relays that reaches the upstream. */
  public open(address: string, place: relayCandidates.PlaceRule): Promise<stream.Duplex> {
    return this.openFirst({ address, isCheck: false }, place, (open) => this.limit.open(open));
  }

  /** Does the same for a check, which the limit does not hold up: a host without room may be cut off as well. */
  public openForCheck(address: string): Promise<stream.Duplex> {
    return this.openFirst({ address, isCheck: true }, relayCandidates.ANY_PLACE, (open) => open());
  }

  private async openFirst(
    target: TunnelTarget,
    place: relayCandidates.PlaceRule,
    limit: (open: () => Promise<stream.Duplex>) => Promise<stream.Duplex>,
  ): Promise<stream.Duplex> {
    const results: string[] = [];
    const attempts = this.pool.rank(place).map((relay) => () => {
      const note = (result: string) => results.push(result);
      return limit(() => this.openAt(relay, target, note));
    });
    try {
      return await firstSuccess.getFirstSuccess(attempts, STAGGER_MS, this.clock, (socket) =>
        socket.destroy(),
      );
    } catch (err) {
      throw new NoRelayError(results.includes('refused'), err);
    }
  }

  private async openAt(
    relay: relayCandidates.RelayCandidate,
    target: TunnelTarget,
    note: (result: string) => void,
  ): Promise<stream.Duplex> {
    try {
      const req = { ...target, connectMs: RELAY_CONNECT_MS };
      const socket = await this.openThrough(relay, req, ANSWER_TIMEOUT_MS);
      const close = this.pool.recordOpened(relay.address, target);
      // An error without a listener would end the process.
      socket.on('error', () => {});
      socket.once('close', close);
      this.record('connected');
      return socket;
    } catch (err) {
      const result = err instanceof peers.TunnelError ? err.result : 'lost';
      if (RELAY_FAILURES.has(result)) {
        this.pool.recordFailure(relay.address);
      }
      this.record(result);
      note(result);
      throw err;
    }
  }
}
