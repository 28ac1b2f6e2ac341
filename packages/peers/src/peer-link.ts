import * as trpcClient from '@trpc/client';
import type * as trpc from '@trpc/server';
import * as observables from '@trpc/server/observable';

import type * as peerClients from './peer-client.js';

/**
 * Creates a tRPC link that sends every call through a peer client. The call's context may hold its `deadlineMs`, in place
 * of the default, and `extraMs` to add to it.
 */
export function createPeerLink<TRouter extends trpc.AnyTRPCRouter>(
  client: peerClients.PeerClient,
  defaultDeadlineMs: number,
): trpcClient.TRPCLink<TRouter> {
  return () =>
    ({ op }) =>
      observables.observable((observer) => {
        const extraMs = Number(op.context.extraMs ?? 0);
        const deadlineMs = Number(op.context.deadlineMs ?? defaultDeadlineMs) + extraMs;
        client.call(op.path, op.input, deadlineMs).then(
          (data) => {
            observer.next({ result: { type: 'data', data } });
            observer.complete();
          },
          (err: Error) => observer.error(trpcClient.TRPCClientError.from(err)),
        );
      });
}
