import * as trpcClient from '@trpc/client';
import type * as trpc from '@trpc/server';
import * as observables from '@trpc/server/observable';

import type * as peerClients from './peer-client.js';

/** Creates a tRPC link that sends every call through a peer client, with the deadline from the call's context. */
export function createPeerLink<TRouter extends trpc.AnyTRPCRouter>(
  client: peerClients.PeerClient,
  defaultDeadlineMs: number,
): trpcClient.TRPCLink<TRouter> {
  return () =>
    ({ op }) =>
      observables.observable((observer) => {
        const deadlineMs = Number(op.context.deadlineMs ?? defaultDeadlineMs);
        client.call(op.path, op.input, deadlineMs).then(
          (data) => {
            observer.next({ result: { type: 'data', data } });
            observer.complete();
          },
          (err: Error) => observer.error(trpcClient.TRPCClientError.from(err)),
        );
      });
}
