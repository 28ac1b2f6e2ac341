import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const valid = {
  daemonId: 'windhoek-a-1',
  availabilityZone: 'windhoek-a',
  callerPort: 0,
  peerPort: 0,
  keysFile: 'keys.json',
  operators: [{ operator: 'night', sha256: 'a'.repeat(64) }],
};

void tap.default.test('invalid settings are refused with a list of all faults', async (t) => {
  const cases = [
    { name: 'an unknown key', change: { colour: 'red' }, paths: ['(root)'] },
    { name: 'a wrong type', change: { callerPort: 'http' }, paths: ['callerPort'] },
    { name: 'a voter without a disk', change: { voter: true }, paths: ['dataFolder'] },
    {
      name: 'a lease as long as the election timeout',
      change: { timings: { leaseMs: 600, electionMs: 600 } },
      paths: ['timings.leaseMs'],
    },
    {
      name: 'two faults',
      change: { callerPort: -1, operators: [] },
      paths: ['callerPort', 'operators'],
    },
  ];
  cases.forEach(({ name, change, paths }) => {
    const input = { ...valid, ...change };
    const result = schemas.daemonConfig.safeParse(input);
    t.notOk(result.success, name);
    const faults = result.success ? [] : schemas.listFaults(result.error, input);
    paths.forEach((path) => {
      t.ok(
        faults.some((fault) => fault.startsWith(`${path}: `)),
        `${name} is reported at ${path}`,
      );
    });
  });
  t.ok(schemas.daemonConfig.safeParse(valid).success, 'valid settings pass');
});

void tap.default.test(
  'a virtual clock resolves sleeps in order and lets the work that follows settle',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const woken: string[] = [];
    const sleep = async (name: string, ms: number) => {
      await clock.sleep(ms);
      woken.push(`${name}@${clock.now()}`);
    };
    void sleep('late', 30).then(() => sleep('again', 5));
    void sleep('early', 10);
    await clock.advance(40);
    t.same(woken, ['early@10', 'late@30', 'again@35']);
  },
);

void tap.default.test('a lifecycle refuses events that its table does not allow', async (t) => {
  const lifecycle = new schemas.Lifecycle<'open' | 'shut', 'close'>(
    { open: { close: 'shut' }, shut: {} },
    'open',
  );
  t.equal(lifecycle.move('close'), 'shut');
  t.throws(() => lifecycle.move('close'), /cannot close/);
});
