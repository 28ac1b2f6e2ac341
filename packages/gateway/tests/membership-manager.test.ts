import * as tap from 'tap';

import * as coreSites from './support/core-site.js';

const FOUR = ['a', 'b', 'c', 'd'];

async function startSite(hosts: readonly string[], seed = 7): Promise<coreSites.CoreSite> {
  const site = new coreSites.CoreSite(seed, 1);
  await site.start(hosts);
  return site;
}

/** Returns whether a change is acknowledged and read back. */
async function isServing(site: coreSites.CoreSite): Promise<boolean> {
  return (await site.declare()) && (await site.read()) === site.acknowledged;
}

void tap.default.test('a host that is to stop leaves the voters first', async (t) => {
  // Guards against the loss of the configuration after a planned stop: the host stopped as a voter, and the next host
  // was lost before a spare had replaced it. Here the next host is lost at the moment at which the process ends.
  for (const isLeader of [false, true]) {
    const site = await startSite(FOUR);
    const leader = site.findLeader()!;
    const voters = site.listVoters();
    const first = isLeader ? leader : voters.find((coreId) => coreId !== leader)!;
    const tookMs = await site.stopHost(first);
    const second = voters.find((coreId) => coreId !== first)!;
    site.kill(second);
    const who = isLeader ? 'the leader' : 'a follower';
    t.ok(tookMs < 500, `${who} has stopped after ${Math.round(tookMs)} ms`);
    t.ok(await isServing(site), `${who}: the log tolerates another loss at once`);
    t.notOk(site.listVoters().includes(first), `${who} is no voter`);
    site.stop();
  }
});

void tap.default.test('a host without a spare to replace it stops at once', async (t) => {
  const site = await startSite(FOUR.slice(0, 3));
  const [first] = site.listVoters();
  t.equal(await site.stopHost(first!), 0);
  t.ok(await isServing(site), 'the two others serve');
  site.restart(first!);
  await site.clock.advance(3_000);
  t.same(site.listVoters(), FOUR.slice(0, 3), 'and it is a voter as before');
  site.stop();
});

void tap.default.test('a host that no spare can replace in time stops all the same', async (t) => {
  // The other hosts are unreachable, so there is no majority for the change. The process is killed after 8 s in any
  // case.
  const site = await startSite(FOUR);
  const leader = site.findLeader()!;
  site
    .listUp()
    .filter((coreId) => coreId !== leader)
    .forEach((coreId) => site.kill(coreId));
  t.ok((await site.stopHost(leader)) <= 2_600);
  site.stop();
});

void tap.default.test(
  'a replacement that starts before the planned stop takes the voter slot',
  async (t) => {
    // The replacement starts first, so the next host may be lost 4 s after that, however late in that time the stop is.
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

void tap.default.test('a host that was gone for a moment is a spare when it returns', async (t) => {
  // Replacing a host that returns must do no harm: it is no voter any more, and takes the next free slot.
  const site = await startSite(FOUR);
  const leader = site.findLeader()!;
  const away = site.listVoters().find((coreId) => coreId !== leader)!;
  site.kill(away);
  await site.clock.advance(3_000);
  t.notOk(site.listVoters().includes(away), 'a spare has its slot');
  site.restart(away);
  await site.clock.advance(1_500);
  t.equal(site.listVoters().length, 3);
  site.kill(site.listVoters().find((coreId) => coreId !== site.findLeader())!);
  await site.clock.advance(3_000);
  t.ok(site.listVoters().includes(away), 'it takes the slot of the next host that is lost');
  t.ok(await isServing(site));
  site.stop();
});

void tap.default.test('a silent voter and the loss of the majority are logged', async (t) => {
  // Guards against operators seeing nothing but refusals: no line said that a voter was silent, how many further losses
  // the log would tolerate, or that there was no majority.
  const site = await startSite(FOUR.slice(0, 3));
  const leader = site.findLeader()!;
  const [one, two] = site.listVoters().filter((coreId) => coreId !== leader) as [string, string];
  site.kill(one);
  await site.clock.advance(3_000);
  const silent = site.lines.find(({ fields }) => fields.event === 'seats-silent')!;
  t.match(silent, { coreId: leader, fields: { silent: [one], lossesBorne: 0 } });
  site.kill(two);
  await site.clock.advance(20_000);
  const logged = site.lines.filter(({ fields }) => fields.event === 'no-majority');
  t.ok(
    logged.length >= 2 && logged.length <= 4,
    `no majority is logged ${logged.length} times in 20 s`,
  );
  t.match(logged[0]!.fields, { granted: [leader] });
  site.restart(one);
  t.ok(await isServing(site));
  site.stop();
});

void tap.default.test('a host whose disk hangs is replaced although it answers', async (t) => {
  // It sends announcements and answers, but holds no new entries: after one more loss there would be no majority.
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
  t.ok(await isServing(site), 'and the next loss is tolerated');
  site.stop();
});

void tap.default.test(
  'a spare that cannot catch up does not block another from the slot',
  async (t) => {
    // It sends announcements, but its disk hangs. If it were tried again and again, the slot would stay empty.
    for (const which of [0, 1]) {
      const site = await startSite([...FOUR, 'e'], 11);
      const leader = site.findLeader()!;
      const voters = site.listVoters();
      const spares = site.listUp().filter((coreId) => !voters.includes(coreId));
      t.equal(spares.length, 2);
      const stuck = spares[which]!;
      site.hangDisk(stuck);
      const [lost, other] = voters.filter((coreId) => coreId !== leader) as [string, string];
      site.kill(lost);
      await site.clock.advance(6_000);
      const fit = spares.find((coreId) => coreId !== stuck)!;
      t.ok(site.listVoters().includes(fit), `${fit} takes the slot because ${stuck} cannot`);
      site.kill(other);
      t.ok(await isServing(site), 'and the next loss is tolerated');
      site.stop();
    }
  },
);

void tap.default.test('the silence of a lost leader counts from before the election', async (t) => {
  // The new leader never had an answer from the old one, but has its last announcement. Counted from its own election
  // the slot would be empty for 2.7 s and more, and the next loss may occur 4 s after a replacement has started.
  for (let seed = 1; seed <= 6; seed += 1) {
    const site = await startSite(FOUR, seed);
    const lost = site.findLeader()!;
    const lostAt = site.clock.now();
    site.kill(lost);
    while (site.findLeader() === undefined || site.listVoters().includes(lost)) {
      await site.clock.advance(10);
    }
    const emptyMs = site.clock.now() - lostAt;
    t.ok(emptyMs < 2_400, `seed ${seed}: ${Math.round(emptyMs)} ms`);
    site.stop();
  }
});
