import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

interface Host {
  readonly files: fakes.MemoryFiles;
  agreed: consensus.Genesis | undefined;
}

/** Starts hosts that know each other, of which some may found the log. */
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

void tap.default.test('only those who may found a log do so', async (t) => {
  const seeds = ['a', 'b', 'c'];

  await t.test('three founders and a fourth host make one group of three', async (t2) => {
    const clock = new schemas.VirtualClock();
    const hosts = await startHosts({ a: seeds, b: seeds, c: seeds, d: [] }, clock);
    const groups = [...hosts.values()].map((host) => host.agreed?.voters.map((v) => v.daemonId));
    t2.same(groups, [seeds, seeds, seeds, seeds], 'the fourth joins without a seat');
  });

  await t.test(
    'empty hosts that were not there at the start never found a second log',
    async (t2) => {
      // Seeds change over the years: a spare, a replaced host and one with a lost disk may one day be all
      // that the settings name. If they founded a log of their own, old configurations would come back as new.
      const clock = new schemas.VirtualClock();
      const hosts = await startHosts({ a: [], b: [], c: [] }, clock);
      t2.ok(
        [...hosts.values()].every((host) => host.agreed === undefined),
        'they wait',
      );
    },
  );

  await t.test('a founder that restarts before the founding still may', async (t2) => {
    // It was named a founder at the very first start only; its folder remembers.
    const files = new fakes.MemoryFiles();
    await consensus.openIdentity(files, seeds);
    const again = await consensus.openIdentity(files.reopen(), []);
    t2.same(again.founders, seeds);
  });
});
