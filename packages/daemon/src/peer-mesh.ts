import type * as members from '@bramleyridge/members';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';

import type * as peerRouters from './peer-router.js';

/** A typed client of one peer. */
export type PeerApi = peers.PeerApi<peerRouters.PeerRouter>;

/** Where a peer listens. */
export type PeerAddress = peers.PeerPlace;

/** The links to other daemons, found by their names. */
export class PeerMesh {
  private isCutOff: (daemonId: string) => boolean = () => false;
  private readonly links: peers.PeerMesh<peerRouters.PeerRouter>;

  public constructor(
    keyring: peers.Keyring,
    deadlineMs: number,
    private readonly findAddress: (daemonId: string) => PeerAddress | undefined,
  ) {
    const isCutOff = (daemonId: string) => this.isCutOff(daemonId);
    this.links = new peers.PeerMesh({ keyring, deadlineMs, isCutOff });
  }

  /** Cuts links, for failure tests. */
  public setPartition(isCutOff: (daemonId: string) => boolean): void {
    this.isCutOff = isCutOff;
  }

  /** The client of a peer that this daemon knows. */
  public get(daemonId: string): PeerApi {
    const address = this.findAddress(daemonId);
    if (address === undefined) {
      throw new schemas.StepError({ id: 'linkClosed', step: 'find-peer', peer: daemonId });
    }
    return this.getAt(daemonId, address);
  }

  /** The client of a peer at a known place. */
  public getAt(daemonId: string, address: PeerAddress): PeerApi {
    return this.links.getAt(daemonId, address);
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
    return this.links.getCounts();
  }

  /** Ends every link. */
  public close(): void {
    this.links.close();
  }
}
