import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** Typed client of one core host. */
export type CoreApi = peers.PeerApi<procedures.CoreRouter>;

/** Provides the clients of core hosts. */
export interface CorePeers {
  /** Returns the client of a core host. */
  get(coreId: string): CoreApi;
}

/** The connections to core hosts. A core host's name is the address on which it listens. */
export class CoreMesh implements CorePeers {
  private readonly links: peers.PeerMesh<procedures.CoreRouter>;

  public constructor(deadlineMs: number) {
    // The platform provides no secret that the hosts share, so connections between them are plain TCP.
    this.links = new peers.PeerMesh({ keyring: undefined, deadlineMs });
  }

  public get(coreId: string): CoreApi {
    const { host, port } = schemas.splitAddress(coreId);
    return this.links.getAt(coreId, { host, peerPort: port });
  }

  /** Closes every connection. */
  public close(): void {
    this.links.close();
  }
}
