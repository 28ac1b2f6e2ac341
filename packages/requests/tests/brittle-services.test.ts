import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as requests from '../src/index.js';

interface Parts {
  readonly clock: schemas.VirtualClock;
  readonly services: requests.BrittleServices;
  readonly reported: requests.RateLimitFacts[];
}

function createServices(): Parts {
  const clock = new schemas.VirtualClock();
  const reported: requests.RateLimitFacts[] = [];
  const services = new requests.BrittleServices({
    report: (facts) => reported.push(facts),
    clock,
    log: new schemas.SilentLog(),
  });
  return { clock, reported, services };
}

const STATED = { kind: 'named', callsPerS: 4 } as const;

void tap.default.test('what one process states holds for its service', async (t) => {
  const { services } = createServices();
  t.equal(services.findBound('app/1'), undefined);
  services.recordAnswer('app/1', 'p1', STATED);
  services.recordAnswer('app/1', 'p2', { kind: 'named', callsPerS: 2 });
  t.equal(services.findBound('app/1'), 2, 'the lowest number');
  t.equal(services.findBound('other'), undefined);
});

void tap.default.test('it ends when no process states it any more', async (t) => {
  const { clock, services } = createServices();
  services.recordAnswer('app', 'p1', STATED);
  services.recordAnswer('app', 'p2', STATED);
  await clock.advance(10);
  services.recordAnswer('app', 'p1', { kind: 'none' });
  t.equal(services.findBound('app'), 4);
  services.recordAnswer('app', 'p2', undefined);
  t.equal(services.findBound('app'), undefined);
});

// Guards against answers that fail to be recorded since the name of their service can't be written as a URI.
void tap.default.test('a service may have any name', async (t) => {
  const { services } = createServices();
  t.doesNotThrow(() => services.recordAnswer('\ud800', 'p1', STATED));
  services.recordAnswer('a/b %2f \u5317', 'p2', STATED);
  t.equal(services.findBound('a/b %2f \u5317'), 4);
});

// Guards against hosts that send as before to upstreams of which only another host has heard that they are brittle.
void tap.default.test('hosts report it to each other', async (t) => {
  const { reported, services } = createServices();
  services.recordAnswer('app', 'p1', STATED);
  const other = createServices();
  reported.forEach((facts) => {
    t.ok(requests.isBrittleFacts(facts));
    other.services.merge(facts);
  });
  t.equal(other.services.findBound('app'), 4);
});

void tap.default.test('a rejection pauses the upstream by the number of hosts', async (t) => {
  const clock = new schemas.VirtualClock();
  const guard = new requests.RejectionGuard({ clock, countHosts: () => 5, random: () => 0.5 });
  guard.recordRejection('p1', 2);
  t.equal(guard.getEnd('p1'), 5_000, 'five hosts cause one rejection a second');
  t.notOk(guard.isEmpty());
  await clock.advance(5_001);
  t.ok(guard.isEmpty());
});
