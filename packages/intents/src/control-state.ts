import * as schemas from '@bramleyridge/schemas';

import * as diffs from './diff-declarations.js';
import * as planLifecycle from './plan-lifecycle.js';
import * as sizedHistories from './sized-history.js';

/** How long after its creation a plan can be confirmed, in milliseconds. */
export const PLAN_LIFETIME_MS = 24 * 3_600_000;

/** Plans kept, including decided ones, by count and by the length of their JSON text. */
const MAX_PLANS = { count: 200, length: 8 * 1024 * 1024 };

/** Command results kept to answer repeated commands, by count and by the length of their JSON text. */
const MAX_RESULTS = { count: 5_000, length: 8 * 1024 * 1024 };

/** Deltas kept for hosts that are a few revisions behind, by count and by the length of their JSON text. */
const MAX_DELTAS = { count: 256, length: 4 * 1024 * 1024 };

type StoredPlan = schemas.Plan & { declaration: schemas.Declaration };

/** The full replicated state, as stored in a snapshot. */
export interface ControlSnapshot {
  readonly configuration: schemas.Configuration;
  readonly plans: readonly StoredPlan[];
  readonly answers: readonly (readonly [string, schemas.CommandResult])[];
  readonly deltas: readonly schemas.Delta[];
}

/**
 * The replicated control state: plans and the configuration in force. All voters apply the same commands in the same
 * order.
 */
export class ControlState {
  private configuration: schemas.Configuration = createEmptyConfiguration();
  private readonly plans = new sizedHistories.SizedHistory<StoredPlan>(
    MAX_PLANS,
    ({ changes, declaration }) => [changes, declaration],
  );
  private readonly results = new sizedHistories.SizedHistory<schemas.CommandResult>(
    MAX_RESULTS,
    (result) => result,
  );
  private readonly deltas = new sizedHistories.SizedHistory<schemas.Delta>(
    MAX_DELTAS,
    (delta) => delta,
  );

  /** Applies one command; `index` is its log index. */
  public apply(command: schemas.Command, index: number): schemas.CommandResult {
    const resultKey = `${command.operator}/${command.requestId}`;
    // An operator that has lost the response repeats the command. Without the stored result a second plan would be
    // created, or a successful confirmation would be reported as refused.
    const known = this.results.find(resultKey);
    if (known !== undefined) {
      return known;
    }
    this.expirePlans(command.at);
    const result = this.execute(command, index);
    this.results.set(resultKey, result);
    return result;
  }

  /** The configuration in force. */
  public getConfiguration(): schemas.Configuration {
    return this.configuration;
  }

  /** The deltas from a revision to the current one, or `undefined` if some of them are no longer kept. */
  public findDeltas(from: number): schemas.Delta[] | undefined {
    const deltas = this.deltas.list().filter((delta) => delta.from >= from);
    const isWhole = from === this.configuration.revision || deltas[0]?.from === from;
    return isWhole ? deltas : undefined;
  }

  /** Lists all plans that are kept, newest first. */
  public listPlans(): schemas.Plan[] {
    return this.plans
      .list()
      .reverse()
      .map(({ declaration, ...plan }) => plan);
  }

  /** Returns the full state. */
  public getSnapshot(): ControlSnapshot {
    return {
      configuration: this.configuration,
      plans: this.plans.list(),
      answers: this.results.listEntries(),
      deltas: this.deltas.list(),
    };
  }

  /** Replaces the full state. */
  public restore(snapshot: ControlSnapshot): void {
    this.configuration = snapshot.configuration;
    this.plans.restore(snapshot.plans.map((plan) => [plan.planId, plan]));
    this.results.restore(snapshot.answers);
    this.deltas.restore(snapshot.deltas.map((delta) => [String(delta.to), delta]));
  }

  private execute(command: schemas.Command, index: number): schemas.CommandResult {
    switch (command.kind) {
      case 'plan':
        return this.createPlan(command, index);
      case 'confirm':
        return this.confirm(command);
      default:
        return this.assignClaimAcceptors(command);
    }
  }

  private createPlan(
    command: Extract<schemas.Command, { kind: 'plan' }>,
    index: number,
  ): schemas.CommandResult {
    const plan: StoredPlan = {
      planId: `plan-${index}`,
      operator: command.operator,
      baseRevision: this.configuration.revision,
      contentHash: schemas.getContentHash(command.declaration),
      status: 'planned',
      changes: diffs.diffDeclarations(this.configuration.declaration, command.declaration),
      createdAt: command.at,
      declaration: command.declaration,
    };
    this.plans.set(plan.planId, plan);
    const { declaration, ...publicPlan } = plan;
    return { kind: 'planned', plan: structuredClone(publicPlan) };
  }

  private confirm(command: Extract<schemas.Command, { kind: 'confirm' }>): schemas.CommandResult {
    const plan = this.plans.find(command.planId);
    if (plan === undefined) {
      return { kind: 'refused', id: 'noPlan', args: [command.planId] };
    }
    if (plan.status === 'confirmed') {
      return { kind: 'confirmed', planId: plan.planId, revision: plan.revision ?? 0 };
    }
    if (plan.status === 'superseded') {
      const reason = this.describeChangesSince(plan.baseRevision);
      const args = [plan.planId, plan.baseRevision, this.configuration.revision, reason];
      return { kind: 'refused', id: 'conflict', args };
    }
    if (plan.status === 'expired') {
      return { kind: 'refused', id: 'planExpired', args: [plan.planId, plan.status] };
    }
    this.applyRevision(plan.changes);
    this.transitionPlan(plan, 'confirm');
    plan.revision = this.configuration.revision;
    this.supersedeOthers(plan);
    return { kind: 'confirmed', planId: plan.planId, revision: plan.revision };
  }

  private assignClaimAcceptors(
    command: Extract<schemas.Command, { kind: 'seats' }>,
  ): schemas.CommandResult {
    const { claimSeats, claimFounders, revision } = this.configuration;
    const ids = command.holders.map((holder) => holder.slice(0, holder.lastIndexOf('@')));
    const isSame =
      ids.length === claimSeats.length && ids.every((id, i) => claimSeats[i]?.daemonId === id);
    if (isSame && !command.isFounding) {
      return { kind: 'seated', revision };
    }
    const seats = ids.map((daemonId, i) =>
      claimSeats[i]?.daemonId === daemonId && !command.isFounding
        ? claimSeats[i]
        : { daemonId, since: revision + 1 },
    );
    const isFirst = claimSeats.length === 0 || command.isFounding;
    this.applyRevision([], seats, isFirst ? command.holders : claimFounders);
    // Plans made before remain valid, since claim acceptors are not part of a declaration.
    this.plans.list().forEach((plan) => {
      if (plan.status === 'planned' && plan.baseRevision === revision) {
        plan.baseRevision = this.configuration.revision;
      }
    });
    return { kind: 'seated', revision: this.configuration.revision };
  }

  private applyRevision(
    changes: schemas.Change[],
    claimSeats: schemas.ClaimAcceptorSlot[] = this.configuration.claimSeats,
    claimFounders: string[] = this.configuration.claimFounders,
  ): void {
    const from = this.configuration.revision;
    const delta = { from, to: from + 1, changes, claimSeats, claimFounders };
    this.configuration = applyDelta(this.configuration, delta);
    this.deltas.set(String(delta.to), delta);
  }

  private supersedeOthers(confirmed: StoredPlan): void {
    this.plans.list().forEach((plan) => {
      if (plan.status === 'planned' && plan.baseRevision < this.configuration.revision) {
        this.transitionPlan(plan, 'supersede');
        plan.supersededBy = `${confirmed.planId} of ${confirmed.operator}`;
      }
    });
  }

  private describeChangesSince(revision: number): string {
    const changes = this.deltas
      .list()
      .filter((delta) => delta.from >= revision)
      .flatMap((delta) => delta.changes);
    const confirmations = this.plans
      .list()
      .filter((plan) => (plan.revision ?? 0) > revision)
      .map((plan) => `${plan.operator} confirmed ${plan.planId}`);
    return [...confirmations, ...changes.map(diffs.describeChange)].join('; ').slice(0, 2_000);
  }

  private expirePlans(now: number): void {
    this.plans.list().forEach((plan) => {
      if (plan.status === 'planned' && now - plan.createdAt > PLAN_LIFETIME_MS) {
        this.transitionPlan(plan, 'expire');
      }
    });
  }

  private transitionPlan(plan: StoredPlan, event: planLifecycle.PlanEvent): void {
    plan.status = planLifecycle.createPlanLifecycle(plan.status).move(event);
  }
}

/** The configuration before the first confirmation. */
export function createEmptyConfiguration(): schemas.Configuration {
  return {
    revision: 0,
    declaration: { teams: [], intents: [], services: [] },
    claimSeats: [],
    claimFounders: [],
    narrowedAt: {},
  };
}

/** Returns the configuration after one delta. */
export function applyDelta(
  configuration: schemas.Configuration,
  delta: schemas.Delta,
): schemas.Configuration {
  const narrowed = delta.changes.filter(isNarrowing).map((change) => [change.name, delta.to]);
  return {
    revision: delta.to,
    declaration: diffs.applyChanges(configuration.declaration, delta.changes),
    claimSeats: delta.claimSeats,
    claimFounders: delta.claimFounders,
    narrowedAt: { ...configuration.narrowedAt, ...Object.fromEntries(narrowed) },
  };
}

function isNarrowing(change: schemas.Change): boolean {
  if (change.kind !== 'team' || change.before === undefined) {
    return false;
  }
  const kept: readonly string[] = change.after?.availabilityZones ?? [];
  return change.before.availabilityZones.some((zone) => !kept.includes(zone));
}
