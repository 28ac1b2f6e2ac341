import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as entryNews from '../src/entry-update-service.js';
import * as entryTables from '../src/entry-host-registry.js';

function createNews(clock: schemas.Clock) {
  const signal = new schemas.ChangeSignal();
  const group = {
    state: { get: () => undefined, changed: signal },
    evacuations: { get: () => ({ revision: 0, zones: [] }), changed: signal },
    isLeading: () => true,
    isCurrent: () => true,
    getLeadership: () => ({ term: 1, startedAt: 0 }),
    voter: { leader: 'c1' },
  };
  return new entryNews.EntryUpdateService({
    group: group as never,
    registry: { listAll: () => ['c1'] } as never,
    entries: new entryTables.EntryHostRegistry(clock),
    lists: {
      getList: () => undefined,
      getAgeMs: () => undefined,
      getPeriodMs: () => 300,
      changed: signal,
    } as never,
    suspects: {} as never,
    clock,
  });
}

function createReq(hostId: string) {
  return { hostId, version: 0, listStamp: '', waitMs: 0 };
}

// Guards against shares of a small fleet: a leader that has just risen has heard few of the hosts.
void tap.default.test('a new leader does not tell yet how many hosts there are', async (t) => {
  const clock = new schemas.VirtualClock();
  const news = createNews(clock);
  t.equal((await news.answer(createReq('h1'))).entryHosts, undefined);
  await clock.advance(1_600);
  await news.answer(createReq('h2'));
  t.equal((await news.answer(createReq('h1'))).entryHosts, 2);
});
