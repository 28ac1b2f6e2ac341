import type * as members from '@bramleyridge/members';
import type * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

import type * as adoptionRegistries from './adoption-registry.js';
import type * as claimServices from './claim-service.js';
import type * as decisionLogs from './decision-log.js';
import type * as daemonMetrics from './metrics.js';
import type * as peerMeshes from './peer-mesh.js';
import type * as plannedStops from './planned-stop.js';
import type * as runGuards from './run-guard.js';
import type * as poolClients from './pool-client.js';
import type * as teamAccess from './team-access.js';

/** Dependencies shared by the request handlers. */
export interface HandlerContext {
  readonly cfg: schemas.DaemonConfig;
  readonly incarnation: number;
  /** The prefix of every call id of this process; a number follows. */
  readonly callPrefix: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly decisions: decisionLogs.DecisionLog;
  readonly metrics: daemonMetrics.Metrics;
  readonly store: members.ConfigurationStore;
  readonly view: members.ZoneView;
  readonly mesh: peerMeshes.PeerMesh;
  readonly access: teamAccess.TeamAccess;
  readonly engines: requests.EngineClient;
  readonly services: requests.ServiceClient;
  readonly gate: requests.UpstreamGate;
  readonly guard: runGuards.RunGuard;
  readonly poolClient: poolClients.PoolClient;
  readonly claims: claimServices.ClaimService;
  readonly calls: requests.CallRegistry;
  readonly adoptions: adoptionRegistries.AdoptionRegistry;
  readonly ids: requests.GenerationIdCodec;
  readonly budget: requests.RetryBudget;
  readonly drain: requests.Drain;
  readonly stop: plannedStops.PlannedStop;
  /** Bytes held for calls. */
  readonly held: requests.HeldBytes;
  readonly random: () => number;
}
