import * as zlib from 'node:zlib';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as coreMeshes from '../src/core-mesh.js';
import type * as procedures from '../src/core-procedures.js';
import * as documentFetchers from '../src/document-fetcher.js';
import * as suspectRelayClients from '../src/suspect-relay-client.js';
import * as updatePollers from '../src/update-poller.js';

/** What a core host with a fault may answer in place of what its procedure returns. */
const WRONG_ANSWERS: readonly unknown[] = [
  undefined,
  null,
  7,
  'text',
  [],
  {},
  { isCurrent: true },
  { isCurrent: true, cores: 5 },
  { isCurrent: true, cores: [7] },
  { part: 7 },
  { part: {} },
  { part: { bytes: 'text' } },
  { relayed: {} },
  { relayed: { epoch: 1, changes: { revision: 'x' } } },
  { relayed: { epoch: 1, changes: { revision: 1, suspects: 5, cleared: {} } } },
];

/** A mesh of one core host that answers each procedure with the wrong answers in turn, then with the right one. */
function createMesh(right: unknown) {
  const state = { calls: 0 };
  const answer = async () => {
    const wrong = WRONG_ANSWERS[state.calls];
    const isWrong = state.calls < WRONG_ANSWERS.length;
    state.calls += 1;
    return Promise.resolve(isWrong ? wrong : right);
  };
  const procedure = { mutate: answer };
  const api = { news: procedure, documentPart: procedure, awaitRelayed: procedure };
  return { mesh: { get: () => api } as unknown as coreMeshes.CoreMesh, state };
}

// Guards against entry hosts that end one after the other because one core host answers in a wrong shape.
void tap.default.test('polling goes on after answers of a wrong shape', async (t) => {
  const clock = new schemas.VirtualClock();
  const { mesh } = createMesh({ isCurrent: true, cores: ['127.0.1.2:1'] });
  const received: procedures.UpdatesRes[] = [];
  const poller = new updatePollers.UpdatePoller({
    mesh,
    listSeeds: () => ['127.0.1.1:1'],
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
    createRequest: (waitMs) => ({ hostId: 'h', version: -1, listStamp: '', waitMs }),
    onUpdates: (updates) => {
      received.push(updates);
    },
  });
  const running = poller.run();
  await clock.advance(20_000);
  t.match(received[0], { cores: ['127.0.1.2:1'] }, 'only the right answer is applied');
  t.same(poller.listCores(), ['127.0.1.2:1', '127.0.1.1:1']);
  poller.stop();
  await clock.advance(1_000);
  await running;
});

// Guards against an entry host that ends, or never fetches a document again, after a part of a wrong shape.
void tap.default.test('a document is fetched after parts of a wrong shape', async (t) => {
  const clock = new schemas.VirtualClock();
  const document = { version: 3, text: 'x'.repeat(100) };
  const packed = zlib.deflateSync(document.text);
  const half = Math.floor(packed.length / 2);
  const part = { version: 3, digest: 'd', offset: 0, totalBytes: packed.length };
  const { mesh, state } = createMesh({ part: { ...part, bytes: packed.subarray(half) } });
  const received: unknown[] = [];
  const fetcher = new documentFetchers.DocumentFetcher({
    mesh,
    listCores: () => ['127.0.1.1:1'],
    clock,
    log: new schemas.SilentLog(),
    onDocument: (fetched) => received.push(fetched),
  });
  const first = { ...part, bytes: packed.subarray(0, half) };
  for (let i = 0; i < 6 && received.length === 0; i += 1) {
    fetcher.receive(first);
    await clock.advance(1_000);
  }
  t.ok(state.calls > WRONG_ANSWERS.length, 'each wrong answer was received');
  t.same(received, [document]);
});

// Guards against an entry host that ends while no leader can be reached, because one relay answers in a wrong shape.
void tap.default.test('relayed suspects arrive after answers of a wrong shape', async (t) => {
  const clock = new schemas.VirtualClock();
  const changes = { revision: 1, isWhole: true, suspects: [], cleared: [] };
  const { mesh, state } = createMesh({ relayed: { epoch: 1, changes } });
  const received: unknown[] = [];
  const client = new suspectRelayClients.SuspectRelayClient({
    mesh,
    hostId: 'h',
    listCores: () => ['127.0.1.1:1'],
    reachesLeader: () => received.length > 0,
    leaderChanged: new schemas.ChangeSignal(),
    clock,
    log: new schemas.SilentLog(),
  });
  const running = client.run((relayed) => {
    received.push(relayed);
  });
  await clock.advance(60_000);
  t.ok(state.calls > WRONG_ANSWERS.length, 'each wrong answer was received');
  t.same(received, [changes]);
  client.stop();
  await clock.advance(10_000);
  await running;
});
