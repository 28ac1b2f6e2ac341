import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as coreHostRegistries from './core-host-registry.js';

/** Interval between announcements to the other core hosts, in milliseconds; a host that misses three is not live. */
const ANNOUNCE_INTERVAL_MS = 400;

/** Options of `CoreDiscovery`. */
export interface CoreDiscoveryOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly group: coreGroups.CoreGroup;
  readonly registry: coreHostRegistries.CoreHostRegistry;
  readonly mesh: coreMeshes.CorePeers;
  readonly listSeeds: () => readonly string[];
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Announces this core host to the others and collects the names of the core hosts that they know. */
export class CoreDiscovery {
  private isStopped = false;

  public constructor(private readonly options: CoreDiscoveryOptions) {}

  /** Announces this host at a fixed interval until stopped. */
  public async run(): Promise<void> {
    const { clock, listSeeds, log, registry } = this.options;
    const announceAll = () => {
      registry.addNames(listSeeds());
      this.announceAll();
    };
    while (!this.isStopped) {
      await schemas.runRound(announceAll, { log, step: 'greet' });
      await clock.sleep(ANNOUNCE_INTERVAL_MS);
    }
  }

  /** Announces this host to every known core host, without waiting for their answers. */
  public announceAll(): void {
    const { log, registry } = this.options;
    registry.listOthers().forEach((peer) => {
      schemas.runInBackground(() => this.announce(peer), { log, step: 'greet', peer });
    });
  }

  /** Stops the announcements. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Handles an announcement from another core host. */
  public handleHello(req: procedures.HelloReq): procedures.HelloRes {
    const { group, registry } = this.options;
    registry.recordAnnouncement(req);
    registry.addNames(req.known);
    return { known: registry.listHeard(), leader: group.voter?.leader };
  }

  private async announce(peer: string): Promise<void> {
    const { availabilityZone, coreId, group, log, mesh, registry } = this.options;
    try {
      const { voterId } = group.getIdentity();
      const { isLeaving } = group.membership;
      const known = registry.listHeard();
      const announcement = { coreId, voterId, availabilityZone, isLeaving, known };
      const res = await mesh.get(peer).hello.mutate(announcement);
      registry.addNames(res.known);
      registry.leaderHint = res.leader ?? registry.leaderHint;
    } catch (err) {
      log.debug({ step: 'greet', peer, err: schemas.toError(err).message });
    }
  }
}
