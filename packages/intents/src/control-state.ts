import * as schemas from '@bramleyridge/schemas';

import * as diffs from './diff-declarations.js';
import * as planLife from './plan-lifecycle.js';

/** How long a plan can be confirmed, in milliseconds. */
export const PLAN_LIFETIME_MS = 24 * 3_600_000;

/** How many plans are kept, decided ones included. */
const MAX_PLANS = 200;

/** How many answers are kept for operators who resend. */
const MAX_ANSWERS = 5_000;

/** How many steps are kept for daemons that are a few revisions behind. */
const MAX_DELTAS = 256;

type StoredPlan = schemas.Plan & { declaration: schemas.Declaration };

/** The whole of the replicated state, as it stands in a snapshot. */
export interface ControlSnapshot {
  readonly configuration: schemas.Configuration;
  readonly plans: readonly StoredPlan[];
  readonly answers: readonly (readonly [string, schemas.CommandResult])[];
  readonly deltas: readonly schemas.Delta[];
}

/** The aggregate of intents: plans and the configuration in force. Every voter applies the same commands. */
export class ControlState {
  private configuration: schemas.Configuration = createEmptyConfiguration();
  private plans = new Map<string, StoredPlan>();
  private answers = new Map<string, schemas.CommandResult>();
  private deltas: schemas.Delta[] = [];

  /** Applies one command; `index` is its place in the log. */
  public apply(command: schemas.Command, index: number): schemas.CommandResult {
    const answerKey = `${command.operator}/${command.requestId}`;
    // The operator who lost the answer sends the command again. Without the first answer at hand a second
    // plan would be made, or a confirmation that held would be reported as refused.
    const known = this.answers.get(answerKey);
    if (known !== undefined) {
      return known;
    }
    this.expirePlans(command.at);
    const result = this.run(command, index);
    this.answers.set(answerKey, result);
    dropOldest(this.answers, MAX_ANSWERS);
    return result;
  }

  /** The configuration in force. */
  public getConfiguration(): schemas.Configuration {
    return this.configuration;
  }

  /** The steps from a revision to the present one, or nothing when some were dropped. */
  public findDeltas(from: number): schemas.Delta[] | undefined {
    const steps = this.deltas.filter((step) => step.from >= from);
    const isWhole = from === this.configuration.revision || steps[0]?.from === from;
    return isWhole ? steps : undefined;
  }

  /** Every plan that is kept, newest first. */
  public listPlans(): schemas.Plan[] {
    return [...this.plans.values()].reverse().map(({ declaration, ...plan }) => plan);
  }

  /** A copy of everything. */
  public getSnapshot(): ControlSnapshot {
    return {
      configuration: this.configuration,
      plans: [...this.plans.values()],
      answers: [...this.answers],
      deltas: this.deltas,
    };
  }

  /** Replaces everything. */
  public restore(snapshot: ControlSnapshot): void {
    this.configuration = snapshot.configuration;
    this.plans = new Map(snapshot.plans.map((plan) => [plan.planId, plan]));
    this.answers = new Map(snapshot.answers);
    this.deltas = [...snapshot.deltas];
  }

  private run(command: schemas.Command, index: number): schemas.CommandResult {
    switch (command.kind) {
      case 'plan':
        return this.createPlan(command, index);
      case 'confirm':
        return this.confirm(command);
      default:
        return this.assignSeats(command);
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
    dropOldest(this.plans, MAX_PLANS);
    const { declaration, ...shown } = plan;
    return { kind: 'planned', plan: structuredClone(shown) };
  }

  private confirm(command: Extract<schemas.Command, { kind: 'confirm' }>): schemas.CommandResult {
    const plan = this.plans.get(command.planId);
    if (plan === undefined) {
      return { kind: 'refused', id: 'noPlan', args: [command.planId] };
    }
    if (plan.status === 'confirmed') {
      return { kind: 'confirmed', planId: plan.planId, revision: plan.revision ?? 0 };
    }
    if (plan.status === 'superseded') {
      const reason = this.describeSince(plan.baseRevision);
      const args = [plan.planId, plan.baseRevision, this.configuration.revision, reason];
      return { kind: 'refused', id: 'conflict', args };
    }
    if (plan.status === 'expired') {
      return { kind: 'refused', id: 'planExpired', args: [plan.planId, plan.status] };
    }
    this.putInForce(plan.changes);
    this.movePlan(plan, 'confirm');
    plan.revision = this.configuration.revision;
    this.supersedeOthers(plan);
    return { kind: 'confirmed', planId: plan.planId, revision: plan.revision };
  }

  private assignSeats(command: Extract<schemas.Command, { kind: 'seats' }>): schemas.CommandResult {
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
    this.putInForce([], seats, isFirst ? command.holders : claimFounders);
    // A plan that was made before is still right: the seats are not part of a declaration.
    this.plans.forEach((plan) => {
      if (plan.status === 'planned' && plan.baseRevision === revision) {
        plan.baseRevision = this.configuration.revision;
      }
    });
    return { kind: 'seated', revision: this.configuration.revision };
  }

  private putInForce(
    changes: schemas.Change[],
    claimSeats: schemas.ClaimSeat[] = this.configuration.claimSeats,
    claimFounders: string[] = this.configuration.claimFounders,
  ): void {
    const from = this.configuration.revision;
    const step = { from, to: from + 1, changes, claimSeats, claimFounders };
    this.configuration = applyDelta(this.configuration, step);
    this.deltas.push(step);
    this.deltas = this.deltas.slice(-MAX_DELTAS);
  }

  private supersedeOthers(winner: StoredPlan): void {
    this.plans.forEach((plan) => {
      if (plan.status === 'planned' && plan.baseRevision < this.configuration.revision) {
        this.movePlan(plan, 'supersede');
        plan.supersededBy = `${winner.planId} of ${winner.operator}`;
      }
    });
  }

  private describeSince(revision: number): string {
    const changes = this.deltas.filter((step) => step.from >= revision).flatMap((s) => s.changes);
    const who = [...this.plans.values()]
      .filter((plan) => (plan.revision ?? 0) > revision)
      .map((plan) => `${plan.operator} confirmed ${plan.planId}`);
    return [...who, ...changes.map(diffs.describeChange)].join('; ').slice(0, 2_000);
  }

  private expirePlans(now: number): void {
    this.plans.forEach((plan) => {
      if (plan.status === 'planned' && now - plan.createdAt > PLAN_LIFETIME_MS) {
        this.movePlan(plan, 'expire');
      }
    });
  }

  private movePlan(plan: StoredPlan, event: planLife.PlanEvent): void {
    plan.status = planLife.createPlanLifecycle(plan.status).move(event);
  }
}

/** The configuration before any confirmation. */
export function createEmptyConfiguration(): schemas.Configuration {
  return {
    revision: 0,
    declaration: { teams: [], intents: [], services: [] },
    claimSeats: [],
    claimFounders: [],
    narrowedAt: {},
  };
}

/** The configuration one step on. */
export function applyDelta(
  configuration: schemas.Configuration,
  step: schemas.Delta,
): schemas.Configuration {
  const narrowed = step.changes.filter(isNarrowing).map((change) => [change.name, step.to]);
  return {
    revision: step.to,
    declaration: diffs.applyChanges(configuration.declaration, step.changes),
    claimSeats: step.claimSeats,
    claimFounders: step.claimFounders,
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

function dropOldest<V>(map: Map<string, V>, most: number): void {
  while (map.size > most) {
    map.delete(map.keys().next().value as string);
  }
}
