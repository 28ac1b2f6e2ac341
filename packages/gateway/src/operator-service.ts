import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as leaderClients from './leader-client.js';
import type * as ports from './ports.js';

/** The share of the time for an acknowledgment after which the operator is told to try elsewhere. */
const ANSWER_SHARE = 0.6;

/** What the desk needs. */
export interface OperatorServiceOptions {
  readonly group: coreGroups.CoreGroup;
  readonly leader: leaderClients.LeaderClient;
  readonly codec: ports.DocumentCodec;
  readonly log: schemas.Log;
  /** Within which an operator's order is to be acknowledged, in milliseconds. */
  readonly acknowledgeMs: number;
}

/** Takes operators' documents and reads them back, at whichever core host the operator reached. */
export class OperatorService {
  public constructor(private readonly options: OperatorServiceOptions) {}

  /** Checks a document and puts it into the log; a refusal lists what is wrong with it. */
  public async declare(text: string): Promise<intents.DeclareResult> {
    const { version } = this.check(text);
    const { acknowledgeMs, leader } = this.options;
    const result = await leader.request(
      () => this.declareAsLeader({ version, text }),
      (api, options) => api.declare.mutate({ version, text }, options),
      acknowledgeMs * ANSWER_SHARE,
    );
    this.options.log.info({ decision: 'declare', version, highest: result.version });
    return result;
  }

  /** The newest document; fails where it is not certain which one that is. */
  public read(): Promise<intents.DeclaredDocument | null> {
    const { acknowledgeMs, leader } = this.options;
    return leader.request(
      () => this.readAsLeader(),
      (api, options) => api.read.mutate(undefined, options),
      acknowledgeMs * ANSWER_SHARE,
    );
  }

  /** Puts a document into the log, as the leader; resolves once a majority has synced it. */
  public async declareAsLeader(document: intents.DeclaredDocument): Promise<intents.DeclareResult> {
    const { result } = await this.options.group.getLeadership().propose(document);
    return result as intents.DeclareResult;
  }

  /** The newest document, as the leader; a majority confirms first that it still leads. */
  public async readAsLeader(): Promise<intents.DeclaredDocument | null> {
    await this.options.group.getLeadership().barrier();
    return this.options.group.state.get() ?? null;
  }

  private check(text: string): schemas.RoutedConfig {
    const faults: string[] = [];
    try {
      const config = this.options.codec.decode(text);
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
}
