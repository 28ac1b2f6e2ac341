import * as crypto from 'node:crypto';

import * as fakes from '@bramleyridge/fakes';
import * as intents from '@bramleyridge/intents';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as coreMeshes from '../src/core-mesh.js';
import * as procedures from '../src/core-procedures.js';
import * as documentFetchers from '../src/document-fetcher.js';
import * as entryHostRegistries from '../src/entry-host-registry.js';
import * as entryUpdateServices from '../src/entry-update-service.js';
import * as updatePollers from '../src/update-poller.js';

/** 7 Mbit/s, as some entry hosts have. */
const LINK_BYTES_PER_S = 875_000;

/** Deadline of a request to a core host, in milliseconds. */
const PEER_DEADLINE_MS = 500;

const clock = new schemas.SystemClock();

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** Creates a document whose compressed text has about the given size. */
function createDocument(version: number, packedBytes: number): intents.DeclaredDocument {
  return { version, text: crypto.randomBytes(packedBytes).toString('base64') };
}

/** A core host with a document, behind a slow link; with `sendsWhole` one of the previous version. */
class CoreStandIn {
  public readonly state = new intents.DeclaredState();
  public partsSent = 0;
  public link!: fakes.SlowLink;
  private server!: peers.PeerServer;

  public constructor(
    private readonly listCores: () => string[],
    private readonly sendsWhole = false,
  ) {}

  public get coreId(): string {
    return `127.0.0.1:${this.link.port}`;
  }

  public async start(t: Teardown): Promise<void> {
    const service = this.createService();
    const handlers = {
      news: (req: procedures.UpdatesReq) =>
        service.answer(this.sendsWhole ? { ...req, takesDocumentParts: undefined } : req),
      documentPart: async (req: procedures.DocumentPartReq) => {
        this.partsSent += 1;
        return Promise.resolve(service.getDocumentPart(req));
      },
    };
    this.server = new peers.PeerServer(procedures.createCoreRouter(handlers as never), {
      host: '127.0.0.1',
      port: 0,
      keyring: undefined,
      log: new schemas.SilentLog(),
    });
    const target = { host: '127.0.0.1', port: await this.server.listen() };
    this.link = await fakes.SlowLink.open({ target, bytesPerS: LINK_BYTES_PER_S });
    t.teardown(() => this.stop());
  }

  public stop(): void {
    this.link.close();
    this.server.close();
  }

  private createService(): entryUpdateServices.EntryUpdateService {
    const { listCores, state } = this;
    const never = new schemas.ChangeSignal();
    const getLeader = () => listCores()[0];
    return new entryUpdateServices.EntryUpdateService({
      group: {
        state,
        evacuations: { get: () => ({ revision: 0, zones: [] }), changed: never },
        isLeading: () => getLeader() === this.coreId,
        isCurrent: () => true,
        getLeadership: () => ({ term: 1, startedAt: 0 }),
        voter: {
          get leader() {
            return getLeader();
          },
        },
      } as never,
      coreRegistry: { listHeard: listCores } as never,
      entryRegistry: new entryHostRegistries.EntryHostRegistry(clock),
      upstreamList: {
        getList: () => undefined,
        getAgeMs: () => undefined,
        getPeriodMs: () => 300,
        changed: never,
      } as never,
      suspects: { changed: never } as never,
      rateLimits: { changed: never } as never,
      clock,
    });
  }
}

/** An entry host's poller and fetcher, and what they have received. */
class EntryStandIn {
  public readonly received: intents.DeclaredDocument[] = [];
  public readonly lines: Record<string, unknown>[] = [];
  private readonly mesh = new coreMeshes.CoreMesh(PEER_DEADLINE_MS);
  private readonly poller: updatePollers.UpdatePoller;
  private readonly fetcher: documentFetchers.DocumentFetcher;

  public constructor(t: Teardown, seeds: readonly string[]) {
    const note = (fields: object) => {
      this.lines.push(fields as Record<string, unknown>);
    };
    const log = { debug: () => {}, info: note, warn: note, error: note };
    this.fetcher = new documentFetchers.DocumentFetcher({
      mesh: this.mesh,
      listCores: () => this.poller.listCoresByPreference(),
      clock,
      log,
      onDocument: (document) => this.received.push(document),
    });
    this.poller = new updatePollers.UpdatePoller({
      mesh: this.mesh,
      listSeeds: () => seeds,
      clock,
      log,
      random: () => 0,
      createRequest: (waitMs) => ({
        hostId: 'h',
        version: this.getVersion(),
        listStamp: '',
        waitMs,
        takesDocumentParts: true,
        fetchedVersion: this.fetcher.findVersion(),
      }),
      onUpdates: ({ document, documentPart }) => {
        if (document !== undefined) {
          this.received.push(document);
        }
        if (documentPart !== undefined) {
          this.fetcher.receive(documentPart);
        }
      },
    });
    void this.poller.run();
    t.teardown(() => {
      this.poller.stop();
      this.fetcher.stop();
      this.mesh.close();
    });
  }

  public getVersion(): number {
    return this.received.at(-1)?.version ?? -1;
  }

  public countLosses(): number {
    return this.lines.filter(({ event }) => event === 'core-lost').length;
  }

  public async until(version: number, limitMs: number): Promise<boolean> {
    const end = clock.now() + limitMs;
    while (this.getVersion() < version && clock.now() < end) {
      await clock.sleep(10);
    }
    return this.getVersion() >= version;
  }
}

async function startCores(t: Teardown, count: number, sendsWhole = false): Promise<CoreStandIn[]> {
  const cores: CoreStandIn[] = [];
  const listCores = () => cores.map((core) => core.coreId);
  for (let i = 0; i < count; i += 1) {
    const core = new CoreStandIn(listCores, sendsWhole);
    await core.start(t);
    cores.push(core);
  }
  return cores;
}

void tap.default.test('an entry host on a slow link receives a large document', async (t) => {
  // Guards against an answer that takes longer than a poll allows, so that the host keeps the former configuration and
  // loses its leader for good.
  for (const sendsWhole of [false, true]) {
    const [core] = await startCores(t, 1, sendsWhole);
    const document = createDocument(7, 1_000_000);
    core!.state.apply(document);
    const host = new EntryStandIn(t, [core!.coreId]);
    t.ok(
      await host.until(7, 6_000),
      sendsWhole ? 'from a host of the previous version' : 'in parts',
    );
    t.equal(host.received[0]?.text, document.text);
    t.equal(host.countLosses(), 0, 'and never loses its core host');
    core!.stop();
  }
});

void tap.default.test('changes in quick succession reach a host on a slow link', async (t) => {
  // Guards against a host that begins anew with each change and finishes none.
  const [core] = await startCores(t, 1);
  core!.state.apply(createDocument(1, 300_000));
  const host = new EntryStandIn(t, [core!.coreId]);
  for (let version = 2; version <= 20; version += 1) {
    await clock.sleep(150);
    core!.state.apply(createDocument(version, 300_000));
  }
  t.ok(host.received.length >= 3, `${host.received.length} versions while they change`);
  t.ok(await host.until(20, 2_000), 'the last one within the time of two transfers');
  const versions = host.received.map(({ version }) => version);
  t.same(
    versions,
    versions.toSorted((a, b) => a - b),
    'in their order',
  );
  t.equal(host.countLosses(), 0);
});

void tap.default.test('a document begun at one core host is finished at another', async (t) => {
  // Guards against a transfer that begins anew whenever its core host is lost.
  const [first, second] = await startCores(t, 2);
  const document = createDocument(3, 1_500_000);
  [first!, second!].forEach((core) => core.state.apply(document));
  const host = new EntryStandIn(t, [first!.coreId]);
  while (first!.partsSent < 10) {
    await clock.sleep(10);
  }
  first!.stop();
  t.ok(await host.until(3, 6_000), 'it arrives');
  t.equal(host.received[0]?.text, document.text);
  const parts = Math.ceil(document.text.length / (64 * 1024));
  t.ok(
    first!.partsSent + second!.partsSent <= parts + 3,
    'and no part is sent again, but the last',
  );
});
