import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as coreTables from './core-host-registry.js';

/** How often core hosts greet each other, in milliseconds. */
const HELLO_MS = 400;

/** What greeting needs. */
export interface CoreDiscoveryOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly group: coreGroups.CoreGroup;
  readonly registry: coreTables.CoreHostRegistry;
  readonly mesh: coreMeshes.CorePeers;
  readonly listSeeds: () => readonly string[];
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Tells the other core hosts that this one is there, and learns from them who else is. */
export class CoreDiscovery {
  private isStopped = false;

  public constructor(private readonly options: CoreDiscoveryOptions) {}

  /** Greets until stopped. */
  public async run(): Promise<void> {
    const { clock, listSeeds, registry: table } = this.options;
    while (!this.isStopped) {
      table.addNames(listSeeds());
      this.announceAll();
      await clock.sleep(HELLO_MS);
    }
  }

  /** Greets everyone at once. */
  public announceAll(): void {
    this.options.registry.listOthers().forEach((coreId) => {
      void this.greet(coreId);
    });
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Answers another core host. */
  public handleHello(req: procedures.HelloReq): procedures.HelloRes {
    const { group, registry: table } = this.options;
    table.recordAnnouncement(req);
    table.addNames(req.known);
    return { known: table.listAll(), leader: group.voter?.leader };
  }

  private async greet(peer: string): Promise<void> {
    const { availabilityZone, coreId, group, log, mesh, registry: table } = this.options;
    try {
      const { voterId } = group.getIdentity();
      const { isLeaving } = group.membership;
      const known = table.listAll();
      const greeting = { coreId, voterId, availabilityZone, isLeaving, known };
      const res = await mesh.get(peer).hello.mutate(greeting);
      table.addNames(res.known);
      table.leaderHint = res.leader ?? table.leaderHint;
    } catch (err) {
      log.debug({ step: 'greet', peer, err: schemas.toError(err).message });
    }
  }
}
