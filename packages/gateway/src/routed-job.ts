import type * as requests from '@bramleyridge/requests';

import type * as callAdmissions from './call-admission.js';
import type * as streamTimes from './stream-times.js';

/** A call in progress. */
export interface RoutedJob {
  readonly call: callAdmissions.AdmittedCall;
  readonly body: Buffer;
  /** Counts the bytes that this host holds for the call. */
  readonly held: requests.HeldCall;
  /** Returns the digest that identifies repetitions of the call; computed on first use. */
  readonly getDigest: () => string;
  /** Aborts every attempt when the caller has disconnected or the deadline has passed. */
  readonly abort: AbortController;
  /** Upstreams to which the call was sent. */
  readonly tried: Set<string>;
  /** Upstream of the last attempt; `undefined` before the first. */
  upstreamId: string | undefined;
  /** Number of times that the call was resumed at another engine. */
  resumes: number;
  /** Times at which the stream's events were sent to the caller. */
  readonly times: streamTimes.StreamTimes;
}

/** Records that a call is sent to an upstream; the returned function takes it back, since nothing was sent. */
export function recordSend(job: RoutedJob, upstreamId: string): () => void {
  const { tried, upstreamId: formerId } = job;
  const isFirst = !tried.has(upstreamId);
  tried.add(upstreamId);
  job.upstreamId = upstreamId;
  return () => {
    job.upstreamId = formerId;
    if (isFirst) {
      tried.delete(upstreamId);
    }
  };
}
