import type * as paths from '@bramleyridge/paths';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';

/** Options of `RelayServer`. */
export interface RelayServerOptions {
  readonly ipAddress: string;
  readonly peerPort: number;
  readonly availabilityZone: string;
  readonly tunnels: paths.TunnelService;
  readonly log: schemas.Log;
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
    const { ipAddress, log, tunnels } = this.options;
    const server = new peers.PeerServer(trpc.initTRPC.create().router({}), {
      host: ipAddress,
      port,
      keyring: undefined,
      log,
      openTunnel: (req) => tunnels.open(req),
    });
    this.port = await server.listen();
    this.server = server;
  }
}
