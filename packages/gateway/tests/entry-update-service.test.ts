import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as entryUpdateServices from '../src/entry-update-service.js';
import * as entryHostRegistries from '../src/entry-host-registry.js';

function createService(clock: schemas.Clock) {
  const signal = new schemas.ChangeSignal();
  const group = {
    state: { get: () => undefined, changed: signal },
    evacuations: { get: () => ({ revision: 0, zones: [] }), changed: signal },
    isLeading: () => true,
    isCurrent: () => true,
    getLeadership: () => ({ term: 1, startedAt: 0 }),
    voter: { leader: 'c1' },
  };
  return new entryUpdateServices.EntryUpdateService({
    group: group as never,
    coreRegistry: { listHeard: () => ['c1'] } as never,
    entryRegistry: new entryHostRegistries.EntryHostRegistry(clock),
    upstreamList: {
      getList: () => undefined,
      getAgeMs: () => undefined,
      getPeriodMs: () => 300,
      changed: signal,
    } as never,
    suspects: {} as never,
    rateLimits: {} as never,
    clock,
  });
}

function createReq(hostId: string) {
  return { hostId, version: 0, listStamp: '', waitMs: 0 };
}

// Guards against hosts that compute their shares for too small a fleet: few hosts have polled a newly elected leader.
void tap.default.test('a new leader does not report the number of entry hosts yet', async (t) => {
  const clock = new schemas.VirtualClock();
  const service = createService(clock);
  t.equal((await service.answer(createReq('h1'))).entryHosts, undefined);
  await clock.advance(1_600);
  await service.answer(createReq('h2'));
  t.equal((await service.answer(createReq('h1'))).entryHosts, 2);
});
