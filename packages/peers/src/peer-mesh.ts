import * as trpcClient from '@trpc/client';
import type * as trpc from '@trpc/server';

import type * as keyrings from './keyring.js';
import * as linkCounts from './link-counts.js';
import * as peerClients from './peer-client.js';
import * as peerLinks from './peer-link.js';

/** Typed client of one peer. */
export type PeerApi<TRouter extends trpc.AnyTRPCRouter> = ReturnType<
  typeof trpcClient.createTRPCClient<TRouter>
>;

/** Address on which a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** Options of {@link PeerMesh}. */
export interface PeerMeshOptions {
  readonly keyring: keyrings.Keyring | undefined;
  readonly deadlineMs: number;
  readonly isCutOff?: (daemonId: string) => boolean;
}

interface Link<TRouter extends trpc.AnyTRPCRouter> {
  readonly client: peerClients.PeerClient;
  readonly api: PeerApi<TRouter>;
  readonly address: string;
}

/** The connections to other daemons, one per peer, created on first use. */
export class PeerMesh<TRouter extends trpc.AnyTRPCRouter> {
  private readonly links = new Map<string, Link<TRouter>>();

  public constructor(private readonly options: PeerMeshOptions) {}

  /** Returns the client of a peer; a client for another address is closed and replaced. */
  public getAt(daemonId: string, { host, peerPort }: PeerAddress): PeerApi<TRouter> {
    const address = `${host}:${peerPort}`;
    const existing = this.links.get(daemonId);
    if (existing?.address === address) {
      return existing.api;
    }
    existing?.client.close();
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
    this.links.set(daemonId, { client, api, address });
    return api;
  }

  /** Sums the traffic of the connections that this daemon opened. */
  public getCounts(): linkCounts.LinkCounts {
    const total = new linkCounts.LinkCounts();
    this.links.forEach(({ client }) => total.add(client.counts));
    return total;
  }

  /** Closes every connection. */
  public close(): void {
    this.links.forEach(({ client }) => client.close());
  }
}
