import * as peers from '@bramleyridge/peers';

import type * as procedures from './core-procedures.js';
import * as hostSettings from './host-settings.js';

/** A typed client of one core host. */
export type CoreApi = peers.PeerApi<procedures.CoreRouter>;

/** How a core host reaches another. */
export interface CorePeers {
  /** The client of a core host. */
  get(coreId: string): CoreApi;
}

/** The links to core hosts, whose names say where they listen. */
export class CoreMesh implements CorePeers {
  private readonly links: peers.PeerMesh<procedures.CoreRouter>;

  public constructor(deadlineMs: number) {
    // The platform gives the hosts no secret that they share, so links between them are plain TCP.
    this.links = new peers.PeerMesh({ keyring: undefined, deadlineMs });
  }

  public get(coreId: string): CoreApi {
    const { host, port } = hostSettings.splitAddress(coreId);
    return this.links.getAt(coreId, { host, peerPort: port });
  }

  /** Ends every link. */
  public close(): void {
    this.links.close();
  }
}
