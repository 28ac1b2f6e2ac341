import type * as http from 'node:http';

import type * as paths from '@bramleyridge/paths';
import type * as requests from '@bramleyridge/requests';
import type * as scheduling from '@bramleyridge/scheduling';
import type * as schemas from '@bramleyridge/schemas';

/** What a call's headers say about a generation before it runs. */
export interface GenerationFacts {
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** The caller's estimate of the answer's tokens; correct at the median, often far off. */
  readonly hintTokens: number | undefined;
  /** The model that the caller names, if any. */
  readonly model?: string | undefined;
  /** The parts of the prompt, in order; the last one belongs to the call or its session. */
  readonly prefixParts: readonly { readonly partId: string; readonly tokens: number }[];
}

/** Facts from the headers of a call. */
export interface CallFacts {
  readonly requestId: string;
  /** Time for which the caller waits, in milliseconds. */
  readonly callerTimeoutMs: number | undefined;
  readonly key: string | undefined;
  readonly generation: GenerationFacts | undefined;
  /** Headers that are forwarded to the upstream unchanged. */
  readonly forwardedHeaders: Readonly<Record<string, string | string[]>>;
}

/** What is sent with one attempt in addition to the caller's request. */
export interface AttemptFacts {
  readonly upstreamId: string;
  readonly team: string | undefined;
  /** Time until the call's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Priority among the generations that wait at an engine; 0 is served first. */
  readonly priority: number | undefined;
  /** Address of the backup engine, which keeps a continuous KV-cache backup of the generation. */
  readonly backupAddress: string | undefined;
  /** Set if the attempt resumes a generation that broke off. */
  readonly resume: ResumeFacts | undefined;
}

/** Point at which a generation that broke off is resumed: after the last event that the caller has. */
export interface ResumeFacts {
  /** KV cache to resume from; without one the prompt is prefilled again, if the route allows another run. */
  readonly copy: KvCacheReference | undefined;
  readonly lastEventId: string | undefined;
}

/** Identifies a KV-cache copy: a continuous backup, or a copy made on request by the engine that ran the generation. */
export type KvCacheReference =
  { readonly kind: 'kept'; readonly backupAddress: string } | OrderedCopyReference;

/** Identifies a copy made on request, by the engine that ran the generation and made it. */
export interface OrderedCopyReference {
  readonly kind: 'ordered';
  readonly sourceAddress: string;
  readonly handle: string;
}

/** Order to copy a generation's KV cache from one engine to another, both named by their addresses. */
export interface KvCacheCopyOrder {
  readonly sourceAddress: string;
  readonly requestId: string;
  readonly targetAddress: string;
  /** Whether the generation is stopped first, so that the copy is complete; it is then resumed from the copy. */
  readonly isLast: boolean;
}

/** Result of an order to copy a KV cache. */
export type KvCacheCopyResult =
  | { readonly kind: 'made'; readonly handle: string }
  /** The target engine has no capacity or is unreachable; the source keeps a stopped generation under a handle. */
  | { readonly kind: 'no-room'; readonly handle?: string | undefined }
  /** The source engine carries out another copy of the generation and has ignored the order. */
  | { readonly kind: 'busy' }
  /** The source engine does not run the generation, or has not started it: its prompt waits for the prefill. */
  | { readonly kind: 'no-run' };

/** Controls generations on engines, which are named by their addresses. */
export interface EngineControl {
  /** Sends orders over the host's links from now on; before, over connections of its own. */
  connectOver?(links: paths.UpstreamLinks): void;
  /** Orders an engine to copy a generation's KV cache to another engine. */
  copyKvCache(order: KvCacheCopyOrder, signal: AbortSignal): Promise<KvCacheCopyResult>;
  /** Orders an engine to release a copy made on request, at both engines. */
  dropKvCache(sourceAddress: string, handle: string, signal: AbortSignal): Promise<void>;
}

/** What an upstream reports about itself along with an answer. */
export interface AnswerFacts {
  readonly load: scheduling.StatedLoad | undefined;
}

/** The platform's protocol for calls: headers of callers and upstreams. */
export interface CallWire {
  /** Returns the call's request ID, for the log of a refused call. */
  findRequestId(headers: http.IncomingHttpHeaders): string | undefined;
  /** Decodes a call's headers; throws a refusal if they are invalid. */
  readCall(headers: http.IncomingHttpHeaders): CallFacts;
  createHeaders(call: CallFacts, attempt: AttemptFacts): Record<string, string | string[]>;
  /** Returns the function that classifies an upstream's answer to a call by its head. */
  createHeadClassifier(call: CallFacts): requests.ClassifyHead;
  readAnswer(head: requests.AnswerHead): AnswerFacts;
  /** Decodes what an upstream states about itself in an answer. */
  readNotice(head: requests.AnswerHead): requests.UpstreamNotice;
}

/** Where a document comes from: an operator who declares it, or the log, which may hold what a former version took. */
export type DocumentOrigin = 'operator' | 'log';

/** Decodes operators' documents. */
export interface DocumentCodec {
  /**
   * Returns the configuration that a document declares; throws an error that lists its faults. What can't be served is a
   * fault only of an operator's document; one from the log must be loaded.
   */
  decode(text: string, origin: DocumentOrigin): schemas.RoutedConfig;
}

/** Answer of an upstream to a probe. */
export interface ProbeAnswer {
  /** Whether the answer reports that the upstream accepts no more work. */
  readonly isLeaving: boolean;
  readonly notice: requests.UpstreamNotice;
  /** Load that it states with the answer; `undefined` if none. */
  readonly load?: scheduling.StatedLoad | undefined;
}

/** Probes the state of upstreams. */
export interface UpstreamProbe {
  probe(address: string, healthPath: string, signal: AbortSignal): Promise<ProbeAnswer>;
}

/** Observes a read of the list that is in progress. */
export interface ListReadMonitor {
  /** Records that the platform has answered a request for a page. */
  recordPage(): void;
  /** Waits after a page was refused because of the rate limit; returns whether it may be requested again. */
  awaitRetryAllowed(): Promise<boolean>;
}

/** Source of the list of upstreams. */
export interface UpstreamSource {
  /** Reads all pages of the list. */
  list(
    listAddress: string,
    signal: AbortSignal,
    monitor?: ListReadMonitor,
  ): Promise<ListReadResult>;
}

/** Result of one read of the list of upstreams. */
export interface ListReadResult {
  readonly upstreams: schemas.ListedUpstream[];
  /** Number of requests that the read took. */
  readonly calls: number;
  /** Number of entries that could not be decoded; they yield no upstream. */
  readonly unreadable: number;
  /** What is wrong with some of these entries, for the log. */
  readonly faults?: readonly string[] | undefined;
}
