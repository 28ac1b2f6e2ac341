import * as intents from '@bramleyridge/intents';
import type * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

function createTeam(name: string, availabilityZones: string[]): schemas.Team {
  return {
    kind: 'team',
    name,
    tokenSha256: ['0'.repeat(64)],
    availabilityZones,
    weight: 1,
    maxConcurrent: 1,
    maxQueued: 1,
  };
}

function createDeclaration(teams: schemas.Team[]): schemas.Declaration {
  return { teams, intents: [], services: [] };
}

class Operators {
  public readonly state = new intents.ControlState();
  private index = 0;

  public plan(operator: string, teams: schemas.Team[], at = 0, requestId = `${this.index}`) {
    this.index += 1;
    const declaration = createDeclaration(teams);
    const result = this.state.apply(
      { kind: 'plan', requestId, operator, at, declaration },
      this.index,
    );
    return result.kind === 'planned' ? result.plan.planId : '';
  }

  public confirm(operator: string, planId: string, at = 0, requestId = `${this.index}`) {
    this.index += 1;
    return this.state.apply({ kind: 'confirm', requestId, operator, at, planId }, this.index);
  }

  public assignAcceptors(holders: string[], isFounding = false) {
    this.index += 1;
    const requestId = `${this.index}`;
    return this.state.apply(
      { kind: 'seats', requestId, operator: 'leader', at: 0, holders, isFounding },
      this.index,
    );
  }
}

void tap.default.test(
  'of two plans on one revision one is confirmed; the other is refused with who changed what',
  async (t) => {
    const operators = new Operators();
    const one = operators.plan('amina', [createTeam('x', ['a'])]);
    const two = operators.plan('bela', [createTeam('y', ['a'])]);
    t.match(operators.confirm('amina', one), { kind: 'confirmed', revision: 1 });
    const lost = operators.confirm('bela', two);
    t.match(lost, { kind: 'refused', id: 'conflict' });
    t.match(JSON.stringify(lost), /amina confirmed plan-1.*add team x/);
    t.same(
      operators.state.getConfiguration().declaration.teams.map((team) => team.name),
      ['x'],
    );
  },
);

void tap.default.test(
  'a repeated command gets the first result, whatever happened since',
  async (t) => {
    const operators = new Operators();
    const one = operators.plan('amina', [createTeam('x', ['a'])]);
    const first = operators.confirm('amina', one, 0, 'same');
    const next = operators.plan('bela', [createTeam('x', ['a', 'b'])]);
    operators.confirm('bela', next);
    t.same(operators.confirm('amina', one, 0, 'same'), first);
    const plan = operators.plan('amina', [createTeam('z', ['a'])], 0, 'plan-again');
    t.equal(operators.plan('amina', [createTeam('z', ['a'])], 0, 'plan-again'), plan, 'one plan');
    t.equal(operators.state.getConfiguration().revision, 2, 'and no change was applied again');
    t.match(
      operators.confirm('amina', one),
      { kind: 'confirmed', revision: 1 },
      'also with another request id',
    );
  },
);

void tap.default.test('expired and unknown plans are refused', async (t) => {
  const operators = new Operators();
  const plan = operators.plan('amina', [createTeam('x', ['a'])]);
  const late = operators.confirm('amina', plan, intents.PLAN_LIFETIME_MS + 1);
  t.match(late, { kind: 'refused', id: 'planExpired' });
  t.match(operators.confirm('amina', 'plan-99'), { kind: 'refused', id: 'noPlan' });
});

void tap.default.test('deltas lead from any kept revision to the current one', async (t) => {
  const operators = new Operators();
  const snapshots: schemas.Configuration[] = [];
  for (let i = 0; i < 20; i += 1) {
    const zones = i % 2 === 0 ? ['a', 'b'] : ['a'];
    const teams = [createTeam('x', zones), createTeam(`t${i % 3}`, ['a'])];
    operators.confirm('amina', operators.plan('amina', teams));
    snapshots.push(structuredClone(operators.state.getConfiguration()));
  }
  snapshots.forEach((from) => {
    const steps = operators.state.findDeltas(from.revision) ?? [];
    const to = steps.reduce(intents.applyDelta, from);
    t.same(to, operators.state.getConfiguration(), `from revision ${from.revision}`);
  });
  t.equal(operators.state.getConfiguration().narrowedAt.x, 20, 'the last narrowing is recorded');
});

void tap.default.test(
  'a snapshot restores the full state, including command results',
  async (t) => {
    const operators = new Operators();
    const plan = operators.plan('amina', [createTeam('x', ['a'])]);
    const answer = operators.confirm('amina', plan, 0, 'r');
    const other = new intents.ControlState();
    other.restore(structuredClone(operators.state.getSnapshot()));
    t.same(
      other.apply({ kind: 'confirm', requestId: 'r', operator: 'amina', at: 0, planId: plan }, 9),
      answer,
    );
    t.same(other.getConfiguration(), operators.state.getConfiguration());
  },
);

void tap.default.test(
  'changes of claim acceptors affect single holders and keep open plans valid',
  async (t) => {
    const operators = new Operators();
    const plan = operators.plan('amina', [createTeam('x', ['a'])]);
    operators.assignAcceptors(['a@1', 'b@1', 'c@1']);
    t.match(
      operators.confirm('amina', plan),
      { kind: 'confirmed' },
      'the plan is not superseded by a change of claim acceptors',
    );
    operators.assignAcceptors(['a@1', 'd@5', 'c@1']);
    const { claimFounders, claimSeats } = operators.state.getConfiguration();
    t.same(claimSeats, [
      { daemonId: 'a', since: 1 },
      { daemonId: 'd', since: 3 },
      { daemonId: 'c', since: 1 },
    ]);
    t.same(claimFounders, ['a@1', 'b@1', 'c@1'], 'a later acceptor is no founder');
  },
);
