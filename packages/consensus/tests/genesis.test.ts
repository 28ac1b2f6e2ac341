import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

interface Host {
  readonly files: fakes.MemoryFiles;
  agreed: consensus.Genesis | undefined;
}

/** Starts hosts that have each other as peers; `founders` gives the founders that each is configured with. */
async function startHosts(
  founders: Readonly<Record<string, readonly string[]>>,
  clock: schemas.VirtualClock,
): Promise<Map<string, Host>> {
  const hosts = new Map<string, Host>();
  Object.keys(founders).forEach((name) =>
    hosts.set(name, { files: new fakes.MemoryFiles(), agreed: undefined }),
  );
  hosts.forEach((host, daemonId) => {
    void consensus.openIdentity(host.files, founders[daemonId]).then(async (identity) => {
      host.agreed = await consensus.agreeGenesis({
        files: host.files,
        identity,
        daemonId,
        founders: identity.founders ?? [],
        listPeers: () => [...hosts.keys()],
        fetchGenesis: async (peer) => consensus.openIdentity(hosts.get(peer)!.files),
        clock,
        signal: new AbortController().signal,
      });
    });
  });
  await clock.advance(3_000);
  return hosts;
}

void tap.default.test('only founders bootstrap a log', async (t) => {
  const seeds = ['a', 'b', 'c'];

  await t.test('three founders and a fourth host agree on the same three voters', async (t2) => {
    const clock = new schemas.VirtualClock();
    const hosts = await startHosts({ a: seeds, b: seeds, c: seeds, d: [] }, clock);
    const groups = [...hosts.values()].map((host) => host.agreed?.voters.map((v) => v.daemonId));
    t2.same(groups, [seeds, seeds, seeds, seeds], 'the fourth joins without a voter slot');
  });

  await t.test('empty hosts that are no founders never bootstrap a second log', async (t2) => {
    // Seeds change over time: the settings may end up listing only a spare, a replaced host and one that lost its
    // disk. If these bootstrapped a log of their own, revisions would start over and old configurations would count
    // as new.
    const clock = new schemas.VirtualClock();
    const hosts = await startHosts({ a: [], b: [], c: [] }, clock);
    t2.ok(
      [...hosts.values()].every((host) => host.agreed === undefined),
      'they wait',
    );
  });

  await t.test('a founder that restarts before the bootstrap remains a founder', async (t2) => {
    // The settings listed it as a founder at its first start only; its data directory stores that.
    const files = new fakes.MemoryFiles();
    await consensus.openIdentity(files, seeds);
    const again = await consensus.openIdentity(files.reopen(), []);
    t2.same(again.founders, seeds);
  });
});
