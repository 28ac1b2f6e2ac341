import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as leaderClients from './leader-client.js';
import type * as ports from './ports.js';

/** Share of the acknowledgment time after which a request fails, so that the operator can still try another host. */
const REQUEST_TIME_SHARE = 0.6;

/**
 * Largest document that operators may declare, in bytes; 36,000 routes. Every host keeps its routes in memory, and a core
 * host also a few former documents.
 */
export const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;

/** Options of `OperatorService`. */
export interface OperatorServiceOptions {
  readonly group: coreGroups.CoreGroup;
  readonly leader: leaderClients.LeaderClient;
  readonly codec: ports.DocumentCodec;
  readonly log: schemas.Log;
  /** Time within which an operator's order must be acknowledged, in milliseconds. */
  readonly acknowledgeMs: number;
}

/** Accepts operators' documents and reads them back, on any core host. */
export class OperatorService {
  public constructor(private readonly options: OperatorServiceOptions) {}

  /** Validates a document and has the leader append it to the log; a refusal lists the document's faults. */
  public async declare(text: string): Promise<intents.DeclareResult> {
    const { version } = this.validate(text);
    const { acknowledgeMs, leader } = this.options;
    const result = await leader.request(
      () => this.declareAsLeader({ version, text }),
      (api, options) => api.declare.mutate({ version, text }, options),
      acknowledgeMs * REQUEST_TIME_SHARE,
    );
    this.options.log.info({ decision: 'declare', version, highest: result.version });
    return result;
  }

  /** Returns the newest document; fails if no leader can confirm which one that is. */
  public read(): Promise<intents.DeclaredDocument | null> {
    const { acknowledgeMs, leader } = this.options;
    return leader.request(
      () => this.readAsLeader(),
      (api, options) => api.read.mutate(undefined, options),
      acknowledgeMs * REQUEST_TIME_SHARE,
    );
  }

  /** Appends a document to the log, as the leader; resolves once a majority has synced it. */
  public async declareAsLeader(document: intents.DeclaredDocument): Promise<intents.DeclareResult> {
    const { result } = await this.options.group.getLeadership().propose(document);
    return result as intents.DeclareResult;
  }

  /** Returns the newest document, as the leader, after a majority has confirmed that it still leads. */
  public async readAsLeader(): Promise<intents.DeclaredDocument | null> {
    await this.options.group.getLeadership().barrier();
    return this.options.group.state.get() ?? null;
  }

  private validate(text: string): schemas.RoutedConfig {
    this.checkSize(text);
    const faults: string[] = [];
    try {
      // What was acknowledged is acknowledged again, even if a former version took it.
      const isHeld = this.options.group.state.get()?.text === text;
      const config = this.options.codec.decode(text, isHeld ? 'log' : 'operator');
      faults.push(...intents.checkRoutedConfig(config));
      if (faults.length === 0) {
        return config;
      }
    } catch (err) {
      faults.push(schemas.toError(err).message);
    }
    this.options.log.info({ decision: 'refuse-document', faults: faults.slice(0, 5) });
    throw new schemas.Refusal({
      id: 'badBody',
      step: 'check-document',
      status: 400,
      outcome: 'not-run',
      args: [faults.join('; ').slice(0, 2_000)],
    });
  }

  private checkSize(text: string): void {
    const bytes = Buffer.byteLength(text);
    if (bytes <= MAX_DOCUMENT_BYTES) {
      return;
    }
    this.options.log.info({ decision: 'refuse-document', bytes, limit: MAX_DOCUMENT_BYTES });
    throw new schemas.Refusal({
      id: 'documentTooLarge',
      step: 'check-document',
      status: 413,
      outcome: 'not-run',
      args: [bytes, MAX_DOCUMENT_BYTES],
    });
  }
}
