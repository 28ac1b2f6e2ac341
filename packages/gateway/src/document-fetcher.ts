import type * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';
import * as packedDocuments from './packed-documents.js';

/** Consecutive failures after which a version is given up; the next poll announces it again. */
const MAX_FAILURES = 6;

/** Pause after a failure, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Options of `DocumentFetcher`. */
export interface DocumentFetcherOptions {
  readonly mesh: coreMeshes.CorePeers;
  /** Lists the core hosts, the one to ask first first. */
  readonly listCores: () => readonly string[];
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly onDocument: (document: intents.DeclaredDocument) => void;
}

/**
 * Fetches documents in parts, whatever their size and the speed of the link, while the polls go on. A version that is
 * begun is finished before a newer one, so changes in quick succession don't keep a slow host from all of them.
 */
export class DocumentFetcher {
  private current: procedures.DocumentPart | undefined;
  private next: procedures.DocumentPart | undefined;
  private isStopped = false;

  public constructor(private readonly options: DocumentFetcherOptions) {}

  /** Returns the highest version that is being fetched or is to be; `undefined` if there is none. */
  public findVersion(): number | undefined {
    return (this.next ?? this.current)?.version;
  }

  /** Takes the first part of a document that a core host has announced. */
  public receive(first: procedures.DocumentPart): void {
    if (first.version <= (this.findVersion() ?? -1)) {
      return;
    }
    if (first.bytes.length === first.totalBytes) {
      this.deliver(first.version, [first.bytes]);
    } else if (this.current === undefined) {
      this.current = first;
      schemas.runInBackground(() => this.run(), { log: this.options.log, step: 'fetch-document' });
    } else {
      this.next = first;
    }
  }

  /** Stops fetching. */
  public stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const { log } = this.options;
    while (this.current !== undefined && !this.isStopped) {
      const first: procedures.DocumentPart = this.current;
      const parts = await schemas.runRound(() => this.fetch(first), {
        log,
        step: 'fetch-document',
      });
      if (parts !== undefined) {
        this.deliver(first.version, parts);
      }
      this.current = this.next;
      this.next = undefined;
    }
  }

  /** Fetches the parts that follow the first one; `undefined` if no core host has them. */
  private async fetch(first: procedures.DocumentPart): Promise<Uint8Array[] | undefined> {
    const { clock, log } = this.options;
    const { digest, totalBytes, version } = first;
    const startedAt = clock.now();
    const parts = [first.bytes];
    let offset = first.bytes.length;
    let failures = 0;
    while (offset < totalBytes && !this.isStopped) {
      const part = await this.requestPart({ version, digest, offset }, failures);
      if (part === undefined || part.bytes.length === 0) {
        failures += 1;
        if (failures >= MAX_FAILURES) {
          log.warn({ event: 'document-not-fetched', version, receivedBytes: offset, totalBytes });
          return undefined;
        }
        await clock.sleep(RETRY_PAUSE_MS);
        continue;
      }
      failures = 0;
      parts.push(part.bytes);
      offset += part.bytes.length;
    }
    if (parts.length > 1) {
      const tookMs = Math.round(clock.now() - startedAt);
      log.info({ event: 'document-fetched', version, totalBytes, tookMs });
    }
    return offset < totalBytes ? undefined : parts;
  }

  /** Requests a part from the preferred core host, after failures from the others in turn. */
  private async requestPart(
    req: procedures.DocumentPartReq,
    failures: number,
  ): Promise<procedures.DocumentPart | undefined> {
    const { listCores, log, mesh } = this.options;
    const cores = listCores();
    const peer = cores[failures % Math.max(1, cores.length)];
    if (peer === undefined) {
      return undefined;
    }
    try {
      const answer = await mesh.get(peer).documentPart.mutate(req);
      return schemas.parse(procedures.documentPartRes, answer, 'fetch-document').part;
    } catch (err) {
      log.debug({ step: 'fetch-document', peer, err: schemas.toError(err).message });
      return undefined;
    }
  }

  private deliver(version: number, parts: readonly Uint8Array[]): void {
    try {
      this.options.onDocument({ version, text: packedDocuments.unpackDocument(parts) });
    } catch (err) {
      const { message } = schemas.toError(err);
      this.options.log.error({ event: 'configuration-unreadable', version, err: message });
    }
  }
}
