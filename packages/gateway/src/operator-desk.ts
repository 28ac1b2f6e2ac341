import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as coreTables from './core-table.js';
import type * as ports from './ports.js';

/** The share of the time for an acknowledgment after which the operator is told to try elsewhere. */
const ANSWER_SHARE = 0.6;

/**
 * How long the leader may take over an order that another host hands it, in milliseconds: operators ask elsewhere
 * after a second without an answer, and a leader that has died must be found out before that.
 */
const LEADER_MS = 800;

/** The pause before a leader is looked for again, in milliseconds. */
const PAUSE_MS = 50;

const DEADLINE = { context: { deadlineMs: LEADER_MS } };

/** What the desk needs. */
export interface OperatorDeskOptions {
  readonly coreId: string;
  readonly group: coreGroups.CoreGroup;
  readonly table: coreTables.CoreTable;
  readonly mesh: coreMeshes.CoreMesh;
  readonly codec: ports.DocumentCodec;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Within which an operator's order is to be acknowledged, in milliseconds. */
  readonly acknowledgeMs: number;
}

/** Takes operators' documents and reads them back, at whichever core host the operator reached. */
export class OperatorDesk {
  public constructor(private readonly options: OperatorDeskOptions) {}

  /** Checks a document and puts it into the log; a refusal lists what is wrong with it. */
  public async declare(text: string): Promise<intents.DeclareResult> {
    const { version } = this.check(text);
    const result = await this.atLeader(
      () => this.declareHere({ version, text }),
      (api) => api.declare.mutate({ version, text }, DEADLINE),
    );
    this.options.log.info({ decision: 'declare', version, highest: result.version });
    return result;
  }

  /** The newest document; fails where it is not certain which one that is. */
  public read(): Promise<intents.DeclaredDocument | null> {
    return this.atLeader(
      () => this.readHere(),
      (api) => api.read.mutate(undefined, DEADLINE),
    );
  }

  /** Puts a document into the log, as the leader; resolves once a majority has synced it. */
  public async declareHere(document: intents.DeclaredDocument): Promise<intents.DeclareResult> {
    const { result } = await this.options.group.getLeadership().propose(document);
    return result as intents.DeclareResult;
  }

  /** The newest document, as the leader; a majority confirms first that it still leads. */
  public async readHere(): Promise<intents.DeclaredDocument | null> {
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

  /** Asks the leader, wherever it is, until the time is over; asking again changes nothing. */
  private async atLeader<T>(
    here: () => Promise<T>,
    there: (api: coreMeshes.CoreApi) => Promise<T>,
  ): Promise<T> {
    const { acknowledgeMs, clock, coreId, mesh } = this.options;
    const end = clock.now() + acknowledgeMs * ANSWER_SHARE;
    let last: unknown;
    while (clock.now() < end) {
      for (const candidate of this.listLeaders()) {
        try {
          return candidate === coreId ? await here() : await there(mesh.get(candidate));
        } catch (err) {
          last = err;
        }
      }
      await clock.sleep(PAUSE_MS);
    }
    const { message } = schemas.toError(last);
    this.options.log.warn({ event: 'leader-lost', step: 'ask-leader', err: message });
    throw new schemas.Refusal({
      id: 'notLeader',
      step: 'ask-leader',
      status: 503,
      outcome: 'unknown',
      cause: last,
    });
  }

  /** The leader that this host knows of; else everyone, since a host without a seat hears no leader. */
  private listLeaders(): string[] {
    const { coreId, group, table } = this.options;
    if (group.voter?.leadership !== undefined) {
      return [coreId];
    }
    const leader = group.voter?.leader ?? table.leaderHint;
    const others = table.listOthers();
    return leader === undefined ? others : [leader, ...others.filter((id) => id !== leader)];
  }
}
