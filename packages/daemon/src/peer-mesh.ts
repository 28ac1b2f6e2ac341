import type * as members from '@bramleyridge/members';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as trpcClient from '@trpc/client';

import type * as peerRouters from './peer-router.js';

/** A typed client of one peer. */
export type PeerApi = ReturnType<typeof trpcClient.createTRPCClient<peerRouters.PeerRouter>>;

/** Where a peer listens. */
export interface PeerPlace {
  readonly host: string;
  readonly peerPort: number;
}

interface Link {
  readonly client: peers.PeerClient;
  readonly api: PeerApi;
  readonly place: string;
}

/** The links to other daemons, one a peer, made when first needed. */
export class PeerMesh {
  private readonly links = new Map<string, Link>();
  private isCutOff: (daemonId: string) => boolean = () => false;

  public constructor(
    private readonly keyring: peers.Keyring,
    private readonly deadlineMs: number,
    private readonly findPlace: (daemonId: string) => PeerPlace | undefined,
  ) {}

  /** Cuts links, for failure tests. */
  public setCut(isCutOff: (daemonId: string) => boolean): void {
    this.isCutOff = isCutOff;
  }

  /** The client of a peer that this daemon knows. */
  public get(daemonId: string): PeerApi {
    const place = this.findPlace(daemonId);
    if (place === undefined) {
      throw new schemas.StepError({ id: 'linkClosed', step: 'find-peer', peer: daemonId });
    }
    return this.getAt(daemonId, place);
  }

  /** The client of a peer at a known place. */
  public getAt(daemonId: string, { host, peerPort }: PeerPlace): PeerApi {
    const place = `${host}:${peerPort}`;
    const known = this.links.get(daemonId);
    if (known?.place === place) {
      return known.api;
    }
    known?.client.close();
    const client = new peers.PeerClient({
      peer: daemonId,
      host,
      port: peerPort,
      keyring: this.keyring,
      connectMs: this.deadlineMs,
      isCut: () => this.isCutOff(daemonId),
    });
    const link = peers.createPeerLink<peerRouters.PeerRouter>(client, this.deadlineMs);
    const api = trpcClient.createTRPCClient<peerRouters.PeerRouter>({ links: [link] });
    this.links.set(daemonId, { client, api, place });
    return api;
  }

  /** One heartbeat to a peer. */
  public sync(
    peer: members.PeerAddress,
    req: schemas.SyncReq,
    deadlineMs: number,
  ): Promise<schemas.SyncRes> {
    return this.getAt(peer.daemonId, peer).sync.mutate(req, { context: { deadlineMs } });
  }

  /** What this daemon's own links carried, for the capacity page. */
  public getCounts(): peers.LinkCounts {
    const total = new peers.LinkCounts();
    this.links.forEach(({ client }) => total.add(client.counts));
    return total;
  }

  /** Ends every link. */
  public close(): void {
    this.links.forEach(({ client }) => client.close());
  }
}
