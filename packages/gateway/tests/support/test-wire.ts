import type * as http from 'node:http';

import type * as gateway from '@bramleyridge/gateway';
import * as requests from '@bramleyridge/requests';
import * as scheduling from '@bramleyridge/scheduling';
import type * as schemas from '@bramleyridge/schemas';

/** Minimal call protocol for tests that implements everything that the interface requires. */
export class TestWire implements gateway.CallWire {
  public findRequestId(headers: http.IncomingHttpHeaders): string | undefined {
    return headers['call-id']?.toString();
  }

  public readCall(headers: http.IncomingHttpHeaders): gateway.CallFacts {
    const tokens = headers.tokens === undefined ? undefined : Number(headers.tokens);
    return {
      requestId: headers['call-id']?.toString() ?? '',
      callerTimeoutMs: headers.patience === undefined ? undefined : Number(headers.patience),
      key: headers.key?.toString(),
      generation:
        tokens === undefined
          ? undefined
          : {
              promptTokens: 100,
              maxTokens: tokens,
              hintTokens: tokens,
              prefixParts: readParts(headers),
            },
      forwardedHeaders: {
        'call-id': headers['call-id']?.toString() ?? '',
        ...(headers.parts === undefined ? {} : { parts: headers.parts }),
      },
    };
  }

  public createHeaders(
    call: gateway.CallFacts,
    attempt: gateway.AttemptFacts,
  ): Record<string, string | string[]> {
    const { backupAddress, resume, team, upstreamId, priority } = attempt;
    return {
      ...call.forwardedHeaders,
      'meant-for': upstreamId,
      'left-ms': String(Math.floor(attempt.remainingMs)),
      ...(team === undefined ? {} : { team }),
      ...(priority === undefined ? {} : { urgency: String(priority) }),
      ...(backupAddress === undefined ? {} : { 'copy-at': backupAddress }),
      ...(resume?.copy === undefined ? {} : { 'resume-from': formatReference(resume.copy) }),
      ...(resume?.lastEventId === undefined ? {} : { 'last-event-id': resume.lastEventId }),
    };
  }

  public createHeadClassifier(call: gateway.CallFacts): requests.ClassifyHead {
    return ({ headers }) => {
      if (headers['not-run'] !== undefined) {
        return headers['not-run'] === 'moved' ? 'moved' : 'not-run';
      }
      return headers['call-id'] === call.requestId ? 'answer' : 'foreign';
    };
  }

  public readAnswer({ headers }: requests.AnswerHead): gateway.AnswerFacts {
    const stated = headers['stated-load']?.toString();
    return {
      load: stated === undefined ? undefined : scheduling.statedLoad.parse(JSON.parse(stated)),
    };
  }

  public readNotice({ headers, status }: requests.AnswerHead): requests.UpstreamNotice {
    return {
      limit: requests.parseNamedLimit(headers['calls-per-s']),
      rest: requests.parseRequestedRest(status, headers['retry-after'], Date.now()),
      maxRejectionsPerS: requests.parseNamedLimit(headers.brittle),
      isLeaving: headers.leaving === '1',
    };
  }
}

function readParts(headers: http.IncomingHttpHeaders): { partId: string; tokens: number }[] {
  const text = headers.parts?.toString() ?? '';
  return text === '' ? [] : text.split(',').map((partId) => ({ partId, tokens: 50 }));
}

function formatReference(reference: gateway.KvCacheReference): string {
  return reference.kind === 'kept'
    ? reference.backupAddress
    : `${reference.sourceAddress}/${reference.handle}`;
}

/** Records the orders to engines for the test. */
export class TestEngines implements gateway.EngineControl {
  /** Results with which the next orders are refused, and the target engines of the refused orders. */
  public readonly refusals: ('no-room' | 'no-run')[] = [];
  public readonly refused: string[] = [];
  public readonly dropped: string[] = [];
  public readonly copies: gateway.KvCacheCopyOrder[] = [];
  /** Additional effect of an accepted order on the engine, such as stopping the run. */
  public onCopy: (order: gateway.KvCacheCopyOrder) => void = () => {};

  public async copyKvCache(
    order: gateway.KvCacheCopyOrder,
    _signal?: AbortSignal,
  ): Promise<gateway.KvCacheCopyResult> {
    const refusal = this.refusals.shift();
    if (refusal !== undefined) {
      this.refused.push(order.targetAddress);
      return Promise.resolve({ kind: refusal });
    }
    this.copies.push(order);
    this.onCopy(order);
    return Promise.resolve({ kind: 'made', handle: `copy-${this.copies.length}` });
  }

  public async dropKvCache(sourceAddress: string, handle: string): Promise<void> {
    this.dropped.push(`${sourceAddress}/${handle}`);
    return Promise.resolve();
  }
}

/** Codec for documents that are the configuration as JSON. */
export class TestCodec implements gateway.DocumentCodec {
  public decode(text: string): schemas.RoutedConfig {
    return JSON.parse(text) as schemas.RoutedConfig;
  }
}

/** List of upstreams that the test sets. */
export class TestList implements gateway.UpstreamSource {
  public upstreams: schemas.ListedUpstream[] = [];
  public isDown = false;
  public calls = 0;

  public async list(): Promise<gateway.ListReadResult> {
    this.calls += 1;
    if (this.isDown) {
      throw new Error('the list is unavailable');
    }
    return Promise.resolve({ upstreams: [...this.upstreams], calls: 1, unreadable: 0 });
  }
}
