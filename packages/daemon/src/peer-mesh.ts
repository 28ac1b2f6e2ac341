import type * as members from '@bramleyridge/members';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';

import type * as peerRouters from './peer-router.js';

/** A typed client of one peer. */
export type PeerApi = peers.PeerApi<peerRouters.PeerRouter>;

/** The address at which a peer listens. */
export type PeerAddress = peers.PeerAddress;

/** The links to other daemons, addressed by daemon id. */
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

  /** Drops the links to the matching peers; for failure tests. */
  public setPartition(isCutOff: (daemonId: string) => boolean): void {
    this.isCutOff = isCutOff;
  }

  /** Returns the client of a peer whose address is known to this daemon. */
  public get(daemonId: string): PeerApi {
    const address = this.findAddress(daemonId);
    if (address === undefined) {
      throw new schemas.StepError({ id: 'linkClosed', step: 'find-peer', peer: daemonId });
    }
    return this.getAt(daemonId, address);
  }

  /** Returns the client of a peer at a given address. */
  public getAt(daemonId: string, address: PeerAddress): PeerApi {
    return this.links.getAt(daemonId, address);
  }

  /** Sends one heartbeat to a peer; resolves to the answer as it arrived. */
  public sync(
    peer: members.PeerAddress,
    req: schemas.SyncReq,
    deadlineMs: number,
  ): Promise<unknown> {
    return this.getAt(peer.daemonId, peer).sync.mutate(req, { context: { deadlineMs } });
  }

  /** Returns the traffic counts of this daemon's outbound links. */
  public getCounts(): peers.LinkCounts {
    return this.links.getCounts();
  }

  /** Closes all links. */
  public close(): void {
    this.links.close();
  }
}
