import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as suspectExchanges from '../src/suspect-exchange.js';

const PART = routing.createPartId('', 'drafter', 'bad');

/** Time by which a part is barred, in milliseconds. */
const VERDICT_MS = 500;

/** Daemons of two zones, each known to all others, whose messages arrive unless the receiver is cut off. */
function createDaemons(ids: readonly string[]) {
  const clock = new schemas.VirtualClock();
  const exchanges = new Map<string, suspectExchanges.SuspectExchange>();
  const cutOff = new Set<string>();
  const getZone = (id: string) => id.split('-')[0]!;
  const find = (id: string) => {
    if (cutOff.has(id)) {
      throw new Error('no answer');
    }
    return exchanges.get(id)!;
  };
  const call = <T, R>(handle: (input: T) => R) => ({
    mutate: async (input: T) => Promise.resolve(structuredClone(handle(structuredClone(input)))),
  });
  const mesh = {
    get: (id: string) => ({
      reportSuspects: call((report: never) => {
        find(id).receive(report);
        return true;
      }),
      permitSuspect: call((req: never) => find(id).permit(req)),
      listSuspects: call(() => find(id).list()),
    }),
  };
  const add = (daemonId: string) => {
    const availabilityZone = getZone(daemonId);
    const members = ids
      .filter((id) => getZone(id) === availabilityZone)
      .map((id) => ({ daemonId: id, state: 'live' }));
    const exchange = new suspectExchanges.SuspectExchange({
      cfg: {
        daemonId,
        availabilityZone,
        peers: ids.map((id) => ({ daemonId: id, availabilityZone: getZone(id) })) as never,
      },
      view: { getDirectory: () => ({ availabilityZone, members }) } as never,
      mesh: mesh as never,
      clock,
      log: new schemas.SilentLog(),
    });
    exchanges.set(daemonId, exchange);
    return exchange;
  };
  ids.forEach(add);
  return { clock, cutOff, add, get: (id: string) => exchanges.get(id)! };
}

async function reportExits(daemons: ReturnType<typeof createDaemons>, id: string) {
  const { clock } = daemons;
  ['p1', 'p2', 'p3'].forEach((processId) => {
    const end = { processId, isEarly: true, wasAlone: false, calls: [`call-${processId}`] };
    daemons.get(id).ledger.recordProcessEnd(PART, end, clock.now());
    daemons.get(id).report({ kind: 'ended', digest: PART, end });
  });
  await clock.advance(VERDICT_MS);
}

// Guards against each daemon, and each zone, losing engines of its own to the same part of prompts.
void tap.default.test('exits at one daemon are known in all zones', async (t) => {
  const ids = ['a-1', 'a-2', 'b-1', 'b-2', 'b-3'];
  const daemons = createDaemons(ids);
  await reportExits(daemons, 'a-1');
  ids.forEach((id) => {
    t.same(daemons.get(id).ledger.barParts(daemons.clock.now()), [PART], id);
  });
});

void tap.default.test('a report that a daemon missed is sent again', async (t) => {
  const daemons = createDaemons(['a-1', 'a-2']);
  daemons.cutOff.add('a-2');
  await reportExits(daemons, 'a-1');
  t.equal(daemons.get('a-2').ledger.size, 0);
  daemons.cutOff.delete('a-2');
  await daemons.clock.advance(VERDICT_MS);
  t.equal(daemons.get('a-2').ledger.find(PART)?.ends.length, 3);
});

// Guards against a daemon that goes on sending a barred part because it was busy for seconds while others reported.
void tap.default.test('a report arrives at a daemon that was busy for seconds', async (t) => {
  const daemons = createDaemons(['a-1', 'a-2']);
  daemons.cutOff.add('a-2');
  await reportExits(daemons, 'a-1');
  await daemons.clock.advance(5_000);
  daemons.cutOff.delete('a-2');
  await daemons.clock.advance(VERDICT_MS);
  t.equal(daemons.get('a-2').ledger.find(PART)?.ends.length, 3);
});

// Guards against a restart that makes a daemon forget what is barred.
void tap.default.test('a daemon that starts learns the suspects of its zone', async (t) => {
  const daemons = createDaemons(['a-1', 'a-2']);
  await reportExits(daemons, 'a-1');
  daemons.get('a-1').ledger.barParts(daemons.clock.now());
  const fresh = daemons.add('a-2');
  const done = fresh.run();
  await daemons.clock.advance(VERDICT_MS);
  await done;
  t.equal(fresh.ledger.getStanding(PART), 'quarantined');
});

// Guards against each daemon trying a barred part by itself.
void tap.default.test('the trials of a part are counted by one daemon', async (t) => {
  const ids = ['a-1', 'a-2', 'a-3', 'a-4'];
  const daemons = createDaemons(ids);
  await reportExits(daemons, 'a-1');
  ids.forEach((id) => daemons.get(id).ledger.barParts(daemons.clock.now()));
  await daemons.clock.advance(2_000);
  const permits = await Promise.all(
    ids.map((id) =>
      daemons.get(id).requestPermit({ digest: PART, processId: `of-${id}`, mayShare: true }),
    ),
  );
  t.equal(permits.filter((permit) => permit?.kind === 'go').length, 1);
});

// Guards against one exit that counts as three because three daemons noticed it one after the other.
void tap.default.test('an exit that several daemons notice counts once', async (t) => {
  const ids = ['a-1', 'a-2', 'a-3', 'b-1'];
  const daemons = createDaemons(ids);
  ids.forEach((id, i) => {
    const { exits, ledger } = daemons.get(id);
    const processId = exits.translate(`engine-1@${100_990 + 10 * i}`);
    const end = { processId, isEarly: true, wasAlone: false, calls: [`call-${id}`] };
    ledger.recordProcessEnd(PART, end, daemons.clock.now());
    daemons.get(id).report({ kind: 'ended', digest: PART, end });
  });
  await daemons.clock.advance(VERDICT_MS);
  ids.forEach((id) => daemons.get(id).share([PART]));
  await daemons.clock.advance(VERDICT_MS);
  ids.forEach((id) => t.equal(daemons.get(id).ledger.find(PART)?.ends.length, 1, id));
});

// Guards against a daemon that goes on refusing a part that was answered at another one.
void tap.default.test('a daemon that bars a cleared part is told so', async (t) => {
  const daemons = createDaemons(['a-1', 'a-2']);
  await reportExits(daemons, 'a-1');
  daemons.get('a-2').ledger.clear(PART);
  daemons.get('a-1').ledger.barParts(daemons.clock.now());
  daemons.get('a-1').share([PART]);
  await daemons.clock.advance(VERDICT_MS);
  ['a-1', 'a-2'].forEach((id) => {
    t.equal(daemons.get(id).ledger.getStanding(PART), 'free', id);
  });
});
