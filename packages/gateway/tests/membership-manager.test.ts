import * as tap from 'tap';

import * as coreSites from './support/core-site.js';

const FOUR = ['a', 'b', 'c', 'd'];

async function startSite(hosts: readonly string[], seed = 7): Promise<coreSites.CoreSite> {
  const site = new coreSites.CoreSite(seed, 1);
  await site.start(hosts);
  return site;
}

/** Whether a change is acknowledged and read back. */
async function isServing(site: coreSites.CoreSite): Promise<boolean> {
  return (await site.declare()) && (await site.read()) === site.acknowledged;
}

void tap.default.test('a host that is told to stop gives its seat up first', async (t) => {
  // Operators lost their configuration after a planned stop: the host went with its seat, and the next one was lost
  // before a spare had it. Here the next one is lost in the very moment in which the process ends.
  for (const isLeader of [false, true]) {
    const site = await startSite(FOUR);
    const leader = site.findLeader()!;
    const seated = site.listVoters();
    const first = isLeader ? leader : seated.find((coreId) => coreId !== leader)!;
    const tookMs = await site.stopHost(first);
    const second = seated.find((coreId) => coreId !== first)!;
    site.kill(second);
    const who = isLeader ? 'the leader' : 'a follower';
    t.ok(tookMs < 500, `${who} is gone after ${Math.round(tookMs)} ms`);
    t.ok(await isServing(site), `${who}: the log goes on without another at once`);
    t.notOk(site.listVoters().includes(first), `${who} has no seat`);
    site.stop();
  }
});

void tap.default.test('a host that nobody can stand in for stops at once', async (t) => {
  const site = await startSite(FOUR.slice(0, 3));
  const [first] = site.listVoters();
  t.equal(await site.stopHost(first!), 0);
  t.ok(await isServing(site), 'the two others go on');
  site.restart(first!);
  await site.clock.advance(3_000);
  t.same(site.listVoters(), FOUR.slice(0, 3), 'and it has its seat as before');
  site.stop();
});

void tap.default.test(
  'a host that waits in vain for its seat to be taken stops all the same',
  async (t) => {
    // The others are out of reach, so nobody can agree to it. The process is killed after 8 s in any case.
    const site = await startSite(FOUR);
    const leader = site.findLeader()!;
    site
      .listUp()
      .filter((coreId) => coreId !== leader)
      .forEach((coreId) => site.kill(coreId));
    t.ok((await site.stopHost(leader)) <= 2_600);
    site.stop();
  },
);

void tap.default.test(
  'a stand-in that comes before the planned stop takes the seat over',
  async (t) => {
    // The stand-in starts first, so the next host may be lost 4 s after that, however late the stop is in it.
    const site = await startSite(FOUR.slice(0, 3));
    site.add('a+');
    await site.clock.advance(3_700);
    await site.stopHost('a');
    site.kill('b');
    t.ok(await isServing(site));
    t.same(
      site.listVoters().filter((coreId) => coreId.startsWith('a')),
      ['a+'],
    );
    site.stop();
  },
);

void tap.default.test('a host that is gone for a moment stands by when it returns', async (t) => {
  // To take a host for gone that returns must cost nothing: it has no seat any more, and gets the next that is free.
  const site = await startSite(FOUR);
  const leader = site.findLeader()!;
  const away = site.listVoters().find((coreId) => coreId !== leader)!;
  site.kill(away);
  await site.clock.advance(3_000);
  t.notOk(site.listVoters().includes(away), 'a spare has its seat');
  site.restart(away);
  await site.clock.advance(1_500);
  t.equal(site.listVoters().length, 3);
  site.kill(site.listVoters().find((coreId) => coreId !== site.findLeader())!);
  await site.clock.advance(3_000);
  t.ok(site.listVoters().includes(away), 'it takes the seat of the next that is gone');
  t.ok(await isServing(site));
  site.stop();
});

void tap.default.test('a silent seat, and a log that stands still, are told', async (t) => {
  // On call saw nothing but refusals: no line said that a seat was silent, how many losses were left, or that the log
  // stood still.
  const site = await startSite(FOUR.slice(0, 3));
  const leader = site.findLeader()!;
  const [one, two] = site.listVoters().filter((coreId) => coreId !== leader) as [string, string];
  site.kill(one);
  await site.clock.advance(3_000);
  const silent = site.lines.find(({ fields }) => fields.event === 'seats-silent')!;
  t.match(silent, { coreId: leader, fields: { silent: [one], lossesBorne: 0 } });
  site.kill(two);
  await site.clock.advance(20_000);
  const told = site.lines.filter(({ fields }) => fields.event === 'no-majority');
  t.ok(told.length >= 2 && told.length <= 4, `no majority is told ${told.length} times in 20 s`);
  t.match(told[0]!.fields, { granted: [leader] });
  site.restart(one);
  t.ok(await isServing(site));
  site.stop();
});

void tap.default.test('a host whose disk hangs loses its seat though it is heard', async (t) => {
  // It greets and answers, but holds nothing new: with one loss more no majority would be left.
  const site = await startSite(FOUR);
  const leader = site.findLeader()!;
  const [stuck, other] = site.listVoters().filter((coreId) => coreId !== leader) as [
    string,
    string,
  ];
  site.hangDisk(stuck);
  await site.declare();
  await site.clock.advance(4_000);
  t.notOk(site.listVoters().includes(stuck));
  site.kill(other);
  t.ok(await isServing(site), 'and the next loss is borne');
  site.stop();
});

void tap.default.test('a spare that cannot catch up keeps no other from the seat', async (t) => {
  // It greets, but its disk hangs. Were it tried again and again, the seat would stay empty.
  for (const which of [0, 1]) {
    const site = await startSite([...FOUR, 'e'], 11);
    const leader = site.findLeader()!;
    const seated = site.listVoters();
    const spares = site.listUp().filter((coreId) => !seated.includes(coreId));
    t.equal(spares.length, 2);
    const stuck = spares[which]!;
    site.hangDisk(stuck);
    const [gone, other] = seated.filter((coreId) => coreId !== leader) as [string, string];
    site.kill(gone);
    await site.clock.advance(6_000);
    const fit = spares.find((coreId) => coreId !== stuck)!;
    t.ok(site.listVoters().includes(fit), `${fit} has it while ${stuck} cannot`);
    site.kill(other);
    t.ok(await isServing(site), 'and the next loss is borne');
    site.stop();
  }
});

void tap.default.test(
  'the seat of a lost leader is not empty for an election longer',
  async (t) => {
    // The new leader never had an answer of the old one, but was greeted by it up to the end. Counted from its own election
    // the seat would be empty for 2.7 s and more, and the next loss may come 4 s after a stand-in has started.
    for (let seed = 1; seed <= 6; seed += 1) {
      const site = await startSite(FOUR, seed);
      const gone = site.findLeader()!;
      const lostAt = site.clock.now();
      site.kill(gone);
      while (site.findLeader() === undefined || site.listVoters().includes(gone)) {
        await site.clock.advance(10);
      }
      const emptyMs = site.clock.now() - lostAt;
      t.ok(emptyMs < 2_400, `seed ${seed}: ${Math.round(emptyMs)} ms`);
      site.stop();
    }
  },
);
