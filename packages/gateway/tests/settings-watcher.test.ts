import * as gateway from '@bramleyridge/gateway';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

// Guards against a bad change of the settings that takes effect, or that fills the log at every read.
void tap.default.test('former settings stay in force, and a fault is logged once', async (t) => {
  const lines: object[] = [];
  const record = (line: object) => {
    lines.push(line);
  };
  const log = { ...new schemas.SilentLog(), debug: record, info: record, warn: record };
  const good = { hostId: 'front-a-1', seeds: ['10.1.0.2:8748'] } as gateway.HostSettings;
  let read = (): gateway.HostSettings => good;
  const fail = (text: string) => (): gateway.HostSettings => {
    throw new Error(text);
  };
  const clock = new schemas.VirtualClock();
  const watcher = new gateway.SettingsWatcher({ read: () => read() }, clock, log as never);
  const steps = [
    { name: 'a fault', read: fail('seeds.0: bad'), lines: 1 },
    { name: 'the same fault', read: fail('seeds.0: bad'), lines: 1 },
    { name: 'another fault', read: fail('ipAddress: bad'), lines: 2 },
    { name: 'no change', read: () => good, lines: 2 },
    { name: 'the fault again', read: fail('ipAddress: bad'), lines: 3 },
  ];
  for (const step of steps) {
    ({ read } = step);
    watcher.reread('time');
    watcher.reread('signal');
    t.equal(watcher.get(), good, step.name);
    t.equal(lines.length, step.lines, step.name);
  }
  t.match(lines[0], { event: 'settings-unreadable', err: 'seeds.0: bad' });
});
