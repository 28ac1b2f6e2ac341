import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as procedures from '../src/core-procedures.js';
import * as suspectRelayClients from '../src/suspect-relay-client.js';

/** Core host that takes a while to record a report and may forward it to the leader. */
class SlowCore {
  public readonly received: string[] = [];

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly isTaken: boolean,
  ) {}

  public createClient(): suspectRelayClients.SuspectRelayClient {
    const mutate = async ({ runs }: procedures.SuspectReport) => {
      this.received.push(...runs.map(({ digest }) => digest));
      await this.clock.sleep(20);
      return { isTaken: this.isTaken };
    };
    return new suspectRelayClients.SuspectRelayClient({
      mesh: { get: () => ({ relaySuspects: { mutate } }) } as never,
      hostId: 'e1',
      listCores: () => ['c1'],
      reachesLeader: () => false,
      leaderChanged: new schemas.ChangeSignal(),
      clock: this.clock,
      log: new schemas.SilentLog(),
    });
  }
}

const createRun = (digest: string): routing.SuspectRun => ({
  kind: 'over',
  digest,
  processId: 'p1',
});

// Guards against a run that is reported again after the next run of its call has begun, which it then ends for the others.
void tap.default.test('a run that is reported twice at once is sent once', async (t) => {
  const clock = new schemas.SystemClock();
  const core = new SlowCore(clock, false);
  const client = core.createClient();
  const [first, second] = [createRun('d1'), createRun('d2')];
  const reports = [client.report([first]), client.report([first, second]), client.report([second])];
  t.same(await Promise.all(reports), [false, false, false]);
  t.same(core.received, ['d1', 'd2']);
});

// Guards against the same by a leader that is reached later, to whom a report is sent that it has.
void tap.default.test('a report that was forwarded counts as received', async (t) => {
  const client = new SlowCore(new schemas.SystemClock(), true).createClient();
  const run = createRun('d1');
  t.ok(await client.report([run]));
  t.ok(await client.report([run]), 'also when it is reported again');
  t.notOk(await client.report([]), 'one without runs does not');
});
