import type * as http from 'node:http';

import type * as requests from '@bramleyridge/requests';
import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

/** What a caller tells of a generation before it runs. */
export interface GenerationFacts {
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** The caller's estimate of the answer's tokens; right at the median, often far off. */
  readonly hintTokens: number | undefined;
  /** The parts of the prompt in order; the last one belongs to the call or its session. */
  readonly prefixParts: readonly { readonly partId: string; readonly tokens: number }[];
}

/** What the head of a call says. */
export interface CallFacts {
  readonly requestId: string;
  /** How long the caller waits, in milliseconds. */
  readonly callerTimeoutMs: number | undefined;
  readonly key: string | undefined;
  readonly generation: GenerationFacts | undefined;
  /** The headers that go on to the upstream as they came. */
  readonly forwardedHeaders: Readonly<Record<string, string | string[]>>;
}

/** What goes out with one attempt, beside what the caller sent. */
export interface AttemptFacts {
  readonly upstreamId: string;
  readonly team: string | undefined;
  /** How much time is left, in milliseconds. */
  readonly remainingMs: number;
  /** The rank among generations that wait at an engine; 0 goes first. */
  readonly priority: number | undefined;
  /** The address of the engine that is to keep a copy of the generation while it runs. */
  readonly backupAddress: string | undefined;
  /** Where a generation that broke off goes on. */
  readonly resume: ResumeFacts | undefined;
}

/** Where a generation that broke off goes on: behind the last event that the caller has. */
export interface ResumeFacts {
  /** The memory from which it goes on; without one the prompt is read anew, where the route allows another run. */
  readonly copy: KvCacheReference | undefined;
  readonly lastEventId: string | undefined;
}

/** What a copy is known by: it is kept along with the run, or was made on order by the engine that ran it. */
export type KvCacheReference =
  | { readonly kind: 'kept'; readonly backupAddress: string }
  | { readonly kind: 'ordered'; readonly sourceAddress: string; readonly handle: string };

/** An order to copy a run; engines are named by their addresses. */
export interface KvCacheCopyOrder {
  readonly sourceAddress: string;
  readonly requestId: string;
  readonly targetAddress: string;
  /** Whether the run stops first, so that nothing is lacking; it goes on from the copy. */
  readonly isLast: boolean;
}

/** What became of an order to copy a run. */
export type KvCacheCopyResult =
  | { readonly kind: 'made'; readonly handle: string }
  /** The other engine has no room, or cannot be reached from there; a run that was stopped is kept under a handle. */
  | { readonly kind: 'no-room'; readonly handle?: string | undefined }
  /** The engine does not run it, or not yet: its prompt waits to be read. */
  | { readonly kind: 'no-run' };

/** Orders to engines about generations that run there; addresses say which engine. */
export interface EngineControl {
  /** Has an engine copy a run's memory to another; gives what the copy is known by. */
  copyKvCache(order: KvCacheCopyOrder, signal: AbortSignal): Promise<KvCacheCopyResult>;
  /** Has an engine let go of a copy that was made on order and is not needed, at both ends. */
  dropKvCache(runner: string, handle: string, signal: AbortSignal): Promise<void>;
}

/** What an upstream tells in passing with an answer. */
export interface AnswerFacts {
  readonly load: routing.ReportedLoad | undefined;
}

/** How callers and upstreams of one side speak. */
export interface CallWire {
  /** The identifier that a call brings, for logs of calls that are refused. */
  findRequestId(headers: http.IncomingHttpHeaders): string | undefined;
  /** Decodes a call's head; throws a refusal when it is no call. */
  readCall(headers: http.IncomingHttpHeaders): CallFacts;
  createHeaders(call: CallFacts, attempt: AttemptFacts): Record<string, string | string[]>;
  judge(call: CallFacts): requests.ClassifyHead;
  readAnswer(head: requests.AnswerHead): AnswerFacts;
}

/** Decodes documents of operators. */
export interface DocumentCodec {
  /** The configuration that a document declares; throws an error that lists what is wrong with it. */
  decode(text: string): schemas.RoutedConfig;
}

/** Asks upstreams about themselves. */
export interface UpstreamProbe {
  /** Whether an upstream says that it takes no more work. */
  isLeaving(address: string, healthPath: string, signal: AbortSignal): Promise<boolean>;
}

/** Follows a reading of the list that is under way. */
export interface ListReadMonitor {
  /** Notes that the platform has answered with a page. */
  recordPage(): void;
  /** Waits until a page that was refused for too many calls may be asked for again; whether it may. */
  awaitRetryAllowed(): Promise<boolean>;
}

/** Where the list of upstreams is read. */
export interface UpstreamSource {
  /** The whole list, all of its pages. */
  list(
    listAddress: string,
    signal: AbortSignal,
    reading?: ListReadMonitor,
  ): Promise<ListReadResult>;
}

/** One reading of the list of upstreams. */
export interface ListReadResult {
  readonly upstreams: schemas.ListedUpstream[];
  /** How many calls it took. */
  readonly calls: number;
  /** How many entries could not be read; they name no upstream. */
  readonly unreadable: number;
}
