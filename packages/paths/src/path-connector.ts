import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';

import * as connectionLimits from './connection-limit.js';
import * as firstSuccess from './first-success.js';
import type * as openTunnels from './open-tunnels.js';
import type * as pathStates from './path-state.js';
import type * as relayCandidates from './relay-candidate.js';
import type * as upstreamDialers from './upstream-dialer.js';

/**
 * Time after which another host is asked to connect beside a connect of this host's own, in milliseconds. Connects take
 * under 10 ms, also to the farthest upstream.
 */
const RELAY_DELAY_MS = 50;

/** Dependencies of the path connector. */
export interface PathConnectorOptions {
  readonly dialer: upstreamDialers.UpstreamDialer;
  readonly tunnels: openTunnels.TunnelOpener;
  readonly state: pathStates.PathState;
  readonly connectMs: number;
  readonly limit: connectionLimits.ConnectionLimit;
  readonly clock: schemas.Clock;
  /** Called with each connection of this host's own. */
  readonly onDirect: (address: string, socket: stream.Duplex) => void;
}

/** Connects to upstreams over the path that works: this host's own, or one through another host. */
export class PathConnector {
  public constructor(private readonly options: PathConnectorOptions) {}

  /**
   * Opens a connection; rejects with the error of this host's own connect if no path works. Nothing is sent before, so
   * a failure proves that the call has not run. Throws a `ConnectionLimitError` if there is no room for it.
   */
  public async connect(address: string, place: relayCandidates.PlaceRule): Promise<stream.Duplex> {
    const { clock, limit, state, tunnels } = this.options;
    if (state.choose(address) === 'relayed') {
      // This host's own connection might be accepted and then be silent.
      return tunnels.open(address, place).catch(() => limit.open(() => this.dial(address)));
    }
    if (limit.isFull()) {
      throw new connectionLimits.ConnectionLimitError();
    }
    let own: Promise<stream.Duplex> | undefined;
    const dial = () => {
      own = limit.open(() => this.dial(address));
      return own;
    };
    const tunnel = async () => {
      // Without room for a second connection, it has to wait until the first has failed.
      if (!limit.hasSpare() && (await isOpened(own))) {
        throw new connectionLimits.ConnectionLimitError();
      }
      const socket = await tunnels.open(address, place);
      if (own !== undefined) {
        this.compare(address, own);
      }
      return socket;
    };
    try {
      return await firstSuccess.getFirstSuccess([dial, tunnel], RELAY_DELAY_MS, clock, (socket) =>
        socket.destroy(),
      );
    } catch (err) {
      throw own === undefined ? err : await own.catch((ownErr: unknown) => ownErr);
    }
  }

  /** Opens a connection of this host's own. */
  public async dial(address: string): Promise<stream.Duplex> {
    const { connectMs, dialer, onDirect } = this.options;
    const socket = await dialer.dial(address, connectMs).catch((err: unknown) => {
      throw connectionLimits.toLimitError(err);
    });
    onDirect(address, socket);
    return socket;
  }

  /** Records a path as blocked if this host's own connect fails where another host's has succeeded. */
  private compare(address: string, own: Promise<stream.Duplex>): void {
    own.catch((err: unknown) => {
      if (!(err instanceof connectionLimits.ConnectionLimitError)) {
        this.options.state.recordBlocked(address, 'connect');
      }
    });
  }
}

/** Returns whether a connection of this host's own was opened. */
function isOpened(own: Promise<stream.Duplex> | undefined): Promise<boolean> {
  return Promise.resolve(own).then(
    () => true,
    () => false,
  );
}
