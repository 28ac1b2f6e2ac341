import * as trpcClient from '@trpc/client';
import type * as trpc from '@trpc/server';

import type * as keyrings from './keyring.js';
import * as linkCounts from './link-counts.js';
import * as peerClients from './peer-client.js';
import * as peerLinks from './peer-link.js';

/** A typed client of one peer. */
export type PeerApi<TRouter extends trpc.AnyTRPCRouter> = ReturnType<
  typeof trpcClient.createTRPCClient<TRouter>
>;

/** Where a peer listens. */
export interface PeerPlace {
  readonly host: string;
  readonly peerPort: number;
}

/** What links to peers need. */
export interface PeerMeshOptions {
  readonly keyring: keyrings.Keyring | undefined;
  readonly deadlineMs: number;
  readonly isCutOff?: (daemonId: string) => boolean;
}

interface Link<TRouter extends trpc.AnyTRPCRouter> {
  readonly client: peerClients.PeerClient;
  readonly api: PeerApi<TRouter>;
  readonly place: string;
}

/** The links to other daemons, one a peer, made when first needed. */
export class PeerMesh<TRouter extends trpc.AnyTRPCRouter> {
  private readonly links = new Map<string, Link<TRouter>>();

  public constructor(private readonly options: PeerMeshOptions) {}

  /** The client of a peer at a known place. */
  public getAt(daemonId: string, { host, peerPort }: PeerPlace): PeerApi<TRouter> {
    const place = `${host}:${peerPort}`;
    const known = this.links.get(daemonId);
    if (known?.place === place) {
      return known.api;
    }
    known?.client.close();
    const { deadlineMs, isCutOff, keyring } = this.options;
    const client = new peerClients.PeerClient({
      peer: daemonId,
      host,
      port: peerPort,
      keyring,
      connectMs: deadlineMs,
      isCut: () => isCutOff?.(daemonId) ?? false,
    });
    const link = peerLinks.createPeerLink<TRouter>(client, deadlineMs);
    const api = trpcClient.createTRPCClient<TRouter>({ links: [link] });
    this.links.set(daemonId, { client, api, place });
    return api;
  }

  /** What this daemon's own links carried. */
  public getCounts(): linkCounts.LinkCounts {
    const total = new linkCounts.LinkCounts();
    this.links.forEach(({ client }) => total.add(client.counts));
    return total;
  }

  /** Ends every link. */
  public close(): void {
    this.links.forEach(({ client }) => client.close());
  }
}
