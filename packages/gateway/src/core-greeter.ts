import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as coreTables from './core-table.js';

/** How often core hosts greet each other, in milliseconds. */
const HELLO_MS = 400;

/** What greeting needs. */
export interface CoreGreeterOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly group: coreGroups.CoreGroup;
  readonly table: coreTables.CoreTable;
  readonly mesh: coreMeshes.CorePeers;
  readonly listSeeds: () => readonly string[];
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Tells the other core hosts that this one is there, and learns from them who else is. */
export class CoreGreeter {
  private isStopped = false;

  public constructor(private readonly options: CoreGreeterOptions) {}

  /** Greets until stopped. */
  public async run(): Promise<void> {
    const { clock, listSeeds, table } = this.options;
    while (!this.isStopped) {
      table.learn(listSeeds());
      this.greetAll();
      await clock.sleep(HELLO_MS);
    }
  }

  /** Greets everyone at once. */
  public greetAll(): void {
    this.options.table.listOthers().forEach((coreId) => {
      void this.greet(coreId);
    });
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Answers another core host. */
  public answer(req: procedures.HelloReq): procedures.HelloRes {
    const { group, table } = this.options;
    table.hear(req);
    table.learn(req.known);
    return { known: table.listAll(), leader: group.voter?.leader };
  }

  private async greet(peer: string): Promise<void> {
    const { availabilityZone, coreId, group, log, mesh, table } = this.options;
    try {
      const { voterId } = group.getIdentity();
      const { isLeaving } = group.seats;
      const known = table.listAll();
      const greeting = { coreId, voterId, availabilityZone, isLeaving, known };
      const res = await mesh.get(peer).hello.mutate(greeting);
      table.learn(res.known);
      table.leaderHint = res.leader ?? table.leaderHint;
    } catch (err) {
      log.debug({ step: 'greet', peer, err: schemas.toError(err).message });
    }
  }
}
