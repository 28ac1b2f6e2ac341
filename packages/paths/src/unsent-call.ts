import type * as undici from 'undici';

import * as connectFailures from './connect-failure.js';

/**
 * Returns a handler that marks the failure of a call which was aborted while its connection was opened: the HTTP client
 * reports the abort only when the call's turn has come, and then writes nothing of it.
 */
export function markUnsent(
  handler: undici.Dispatcher.DispatchHandler,
): undici.Dispatcher.DispatchHandler {
  const { onConnect } = handler;
  return Object.assign(handler, {
    onConnect: (abort: (err?: Error) => void) => {
      let isWritten = false;
      onConnect?.call(handler, (err) => {
        abort(isWritten || err === undefined ? err : connectFailures.markConnectFailure(err));
      });
      isWritten = true;
    },
  });
}
