import type * as paths from '@bramleyridge/paths';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';

/** What other hosts may hold: they ask for tunnels only, each over a connection of its own. */
const LIMITS: Omit<peers.PeerLimits, 'connections'> = {
  callsPerConnection: 16,
  calls: 256,
  frameBytes: 16 * 1_024,
  heldBytes: 1_024 * 1_024,
};

/** Options of `RelayServer`. */
export interface RelayServerOptions {
  readonly ipAddress: string;
  readonly peerPort: number;
  readonly availabilityZone: string;
  /** Number of connections that other hosts may have open. */
  readonly maxConnections: number;
  readonly tunnels: paths.TunnelService;
  readonly log: schemas.Log;
  /** Called when a connection is closed because of the limits. */
  readonly onClosed: (reason: peers.PeerCloseReason) => void;
}

/** Relays connections to upstreams for other hosts, on an entry host. */
export class RelayServer {
  private server: peers.PeerServer | undefined;
  private port: number | undefined;

  public constructor(private readonly options: RelayServerOptions) {}

  /** Starts listening, on another port if the one from the settings is taken. A host that can't listen relays nothing. */
  public async start(): Promise<void> {
    const { log, peerPort } = this.options;
    try {
      await this.listen(peerPort).catch(() => this.listen(0));
    } catch (err) {
      log.error({ event: 'relay-unserved', err: schemas.toError(err).message });
    }
  }

  /** Returns how other hosts reach this server; `undefined` if it doesn't listen. */
  public findCandidate(): paths.RelayCandidate | undefined {
    const { availabilityZone, ipAddress } = this.options;
    return this.port === undefined
      ? undefined
      : { address: `${ipAddress}:${this.port}`, availabilityZone };
  }

  /** Closes the server and what it relays. */
  public close(): void {
    this.server?.close();
  }

  private async listen(port: number): Promise<void> {
    const { ipAddress, log, maxConnections, onClosed, tunnels } = this.options;
    const server = new peers.PeerServer(trpc.initTRPC.create().router({}), {
      host: ipAddress,
      port,
      keyring: undefined,
      log,
      openTunnel: (req) => tunnels.open(req),
      leaving: tunnels.leaving,
      limits: { ...LIMITS, connections: maxConnections },
      onClosed,
    });
    this.port = await server.listen();
    this.server = server;
  }
}
