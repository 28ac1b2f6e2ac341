import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

const NAMES = ['a', 'b', 'c'];
const SEEDS = Number(process.env.FOUNDING_SEEDS ?? 150);

/** Time in which the hosts of a drawn case are disturbed, and in calm after it, in milliseconds. */
const TROUBLE_MS = 8_000;
const CALM_MS = 6_000;

/** Deadline of a request between founders, in milliseconds. */
const DEADLINE_MS = 500;

/** Files of a disk that stops: the identity is created, and no later write of it ends. */
class HangingFiles extends fakes.MemoryFiles {
  private hasCreated = false;

  public override async replace(name: string, bytes: Buffer): Promise<void> {
    if (this.hasCreated) {
      return new Promise(() => {});
    }
    this.hasCreated = true;
    return super.replace(name, bytes);
  }
}

interface Host {
  files: fakes.MemoryFiles;
  agreement: consensus.Founding | undefined;
  agreed: consensus.Genesis | undefined;
  abort: AbortController;
}

/** Founders in one process, on virtual time, with links that lose, delay and repeat requests. */
class Founders {
  public readonly clock = new schemas.VirtualClock();
  public readonly hosts = new Map<string, Host>();
  /** Every list of voters that any host has ever taken for agreed, as JSON. */
  public readonly agreements = new Set<string>();
  public lossRate = 0;
  public maxDelayMs = 5;
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;

  public constructor(seed: number) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
  }

  public random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }

  /** Starts or restarts a host with its files, and with the founders that it is told. */
  public start(
    name: string,
    files: fakes.MemoryFiles,
    isFirstStart: boolean,
    founders: readonly string[] = NAMES,
  ): void {
    this.stop(name);
    const abort = new AbortController();
    const host: Host = { files, agreement: undefined, agreed: undefined, abort };
    this.hosts.set(name, host);
    void this.run(name, host, isFirstStart ? founders : []).catch(() => {});
  }

  /** Ends the process of a host: it promises and accepts nothing more, and what it answers is lost. */
  public stop(name: string): void {
    const host = this.hosts.get(name);
    host?.abort.abort(new Error('stopped'));
    void host?.agreement?.close();
    this.hosts.delete(name);
  }

  public listAgreed(): (readonly string[] | undefined)[] {
    return [...this.hosts.values()].map(({ agreed }) => agreed?.voters.map((v) => v.daemonId));
  }

  /** Sends a request to all founders. */
  public ask(req: consensus.FoundingReq): Promise<(consensus.FoundingRes | undefined)[]> {
    const send = (peer: string) => this.send(peer, (other) => other.agreement!.handle(req));
    return Promise.all(NAMES.map((peer) => send(peer).catch(() => undefined)));
  }

  private async run(daemonId: string, host: Host, founders: readonly string[]): Promise<void> {
    const { files } = host;
    const identity = await consensus.openIdentity(files, founders);
    const agreement = new consensus.Founding(files, identity);
    host.agreement = agreement;
    const agreed = await consensus.agreeGenesis({
      files,
      identity,
      daemonId,
      founders: identity.founders ?? [],
      listPeers: () => NAMES,
      fetchGenesis: (peer) => this.send(peer, async (other) => other.agreement!.get()),
      founding: {
        agreement,
        send: (peer, req) => this.send(peer, (other) => other.agreement!.handle(req)),
      },
      clock: this.clock,
      signal: host.abort.signal,
    });
    if (!host.abort.signal.aborted) {
      host.agreed = agreed;
      this.agreements.add(JSON.stringify(agreed.voters));
    }
  }

  private async send<Res>(peer: string, handle: (host: Host) => Promise<Res>): Promise<Res> {
    const deliver = async () => {
      await this.clock.sleep(this.random() * this.maxDelayMs);
      const host = this.hosts.get(peer);
      if (host?.agreement === undefined || this.random() < this.lossRate) {
        throw new Error('no connection');
      }
      const res = await handle(host);
      if (this.hosts.get(peer) !== host) {
        throw new Error('the process has ended');
      }
      return res;
    };
    if (this.random() < this.lossRate) {
      void deliver().catch(() => {});
    }
    const timeout = this.clock.sleep(DEADLINE_MS + 2 * this.maxDelayMs).then(() => {
      throw new Error('no answer');
    });
    timeout.catch(() => {});
    const res = await Promise.race([deliver(), timeout]);
    await this.clock.sleep(this.random() * this.maxDelayMs);
    if (this.random() < this.lossRate) {
      throw new Error('the answer is lost');
    }
    return res;
  }
}

// Guards against a log that is never founded, since one of its founders is lost just after the first start.
void tap.default.test('two of three founders agree without the third', async (t) => {
  for (const lost of NAMES) {
    const site = new Founders(1);
    const others = NAMES.filter((name) => name !== lost);
    others.forEach((name) => site.start(name, new fakes.MemoryFiles(), true));
    await site.clock.advance(1_500);
    t.same(site.listAgreed(), [undefined, undefined], `${lost} may be late`);
    await site.clock.advance(3_000);
    t.same(site.listAgreed(), [others, others], `${lost} is lost`);
    site.start(lost, new fakes.MemoryFiles(), true);
    await site.clock.advance(1_000);
    t.same(site.listAgreed()[2], others, `${lost} joins late`);
  }
});

// Guards against a log that is never founded, since the founder with the lowest name answers but can't store anything.
void tap.default.test('two of three founders agree beside one whose disk hangs', async (t) => {
  for (const hanging of NAMES) {
    const site = new Founders(1);
    const others = NAMES.filter((name) => name !== hanging);
    others.forEach((name) => site.start(name, new fakes.MemoryFiles(), true));
    site.start(hanging, new HangingFiles(), true);
    await site.clock.advance(10_000);
    const [first, second] = site.listAgreed();
    t.equal(first?.length, 3, `${hanging} hangs: the others agree`);
    t.same(second, first);
  }
});

// Guards against two logs: a founder that can't read the other seeds founds one alone, and the others another.
void tap.default.test('a founder that knows no other founds no log alone', async (t) => {
  const site = new Founders(1);
  site.start('a', new fakes.MemoryFiles(), true, ['a', '?', '??']);
  await site.clock.advance(10_000);
  t.same(site.listAgreed(), [undefined]);
  ['b', 'c'].forEach((name) => site.start(name, new fakes.MemoryFiles(), true));
  await site.clock.advance(6_000);
  t.equal(site.agreements.size, 1);
  t.ok(site.listAgreed().every((voters) => voters !== undefined));
});

// Guards against two logs: a founder whose disk was lost must not stand for the one that has promised.
void tap.default.test('a founder without its disk is none', async (t) => {
  const site = new Founders(1);
  site.start('a', new fakes.MemoryFiles(), true);
  site.start('b', new fakes.MemoryFiles(), false);
  site.start('c', new fakes.MemoryFiles(), false);
  await site.clock.advance(10_000);
  t.same(site.listAgreed(), [undefined, undefined, undefined]);
});

// Guards against two lists of first voters that are proposed at the same time, while messages and processes are lost.
void tap.default.test('rival proposals lead to one list', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const site = new Founders(seed);
    NAMES.forEach((name) => site.start(name, new fakes.MemoryFiles(), true));
    await site.clock.advance(0);
    const chosen = new Set<string>();
    site.lossRate = site.random() * 0.5;
    site.maxDelayMs = 20 + site.random() * 80;
    for (let step = 0; step < 60; step += 1) {
      const name = NAMES[Math.floor(site.random() * 3)]!;
      const { agreement, files } = site.hosts.get(name)!;
      if (site.random() < 0.2) {
        site.start(name, site.random() < 0.5 ? files.reopen() : files.restart(), false);
      } else {
        const proposal = `${name}-${step}`;
        void agreement
          ?.propose([{ daemonId: name, voterId: proposal }], proposal, (req) => site.ask(req))
          .then((voters) => chosen.add(JSON.stringify(voters)));
      }
      await site.clock.advance(site.random() * 100);
    }
    chosen.delete(JSON.stringify(undefined));
    t.ok(chosen.size <= 1, `seed ${seed}: ${chosen.size} lists`);
  }
});

// Guards against two lists of first voters, whichever messages, processes and disk are lost while they are agreed.
void tap.default.test('drawn disturbances of the founding lead to one list', async (t) => {
  let incomplete = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const site = new Founders(seed);
    NAMES.forEach((name) => site.start(name, new fakes.MemoryFiles(), true));
    await site.clock.advance(0);
    site.lossRate = site.random() * 0.6;
    site.maxDelayMs = 5 + site.random() * 500;
    const wiped = site.random() < 0.5 ? NAMES[Math.floor(site.random() * 3)]! : undefined;
    const wipedAt = site.random() * TROUBLE_MS;
    for (let ms = 0; ms < TROUBLE_MS; ms += 250) {
      const name = NAMES[Math.floor(site.random() * 3)]!;
      const { files } = site.hosts.get(name)!;
      if (name === wiped && ms >= wipedAt) {
        site.start(name, new fakes.MemoryFiles(), false);
      } else if (site.random() < 0.4) {
        site.start(name, files.reopen(), false);
      }
      await site.clock.advance(250);
    }
    site.lossRate = 0;
    site.maxDelayMs = 5;
    await site.clock.advance(CALM_MS);
    t.equal(site.agreements.size, 1, `seed ${seed}: one list`);
    const isKnown = site.listAgreed().every((voters) => voters !== undefined);
    t.ok(isKnown, `seed ${seed}: all hosts know it`);
    incomplete += Number([...site.agreements].some((text) => JSON.parse(text).length < 3));
  }
  t.comment(`${incomplete} of ${SEEDS} without all founders`);
});
