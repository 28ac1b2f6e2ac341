import * as tap from 'tap';

import * as engineLedgers from '../src/engine-ledger.js';

function createEngine(engineId: string, isClosed = false) {
  return { engineId, memoryTokens: 10_000, slots: 8, availabilityZone: 'a', isClosed };
}

function createSpec(callId: string, excluded: readonly string[] = []) {
  return {
    callId,
    availabilityZone: 'a',
    promptTokens: 500,
    answerTokens: 800,
    leftMs: 30_000,
    excluded,
    wantsCopy: true,
    ranMs: 0,
  };
}

// Guards against backups kept on, and runs migrated to, an engine that must not receive new work.
void tap.default.test(
  'a closed engine keeps no new backup and is no target of migrations',
  async (t) => {
    const ledger = new engineLedgers.EngineLedger();
    ledger.setEngines([createEngine('e-1'), createEngine('e-2', true)]);
    t.match(ledger.place(createSpec('c1'), 0), { engineId: 'e-1', copyAt: undefined });
    ledger.setEngines([createEngine('e-2', true)]);
    t.equal(
      ledger.reassignBackup('c1', 'e-1', [], 100),
      undefined,
      'no target engine when its engine leaves',
    );
    ledger.setEngines([createEngine('e-2')]);
    t.equal(
      ledger.reassignBackup('c1', 'e-1', [], 100),
      'e-2',
      'but one once an engine is open again',
    );
  },
);

// Guards against counting a backup on an engine where its run may not resume.
void tap.default.test(
  'a backup on an engine that was closed afterwards does not count',
  async (t) => {
    const ledger = new engineLedgers.EngineLedger();
    const engines = [createEngine('e-1'), createEngine('e-2')];
    ledger.setEngines(engines);
    const { copyAt = '', engineId = '' } = ledger.place(createSpec('c1'), 0) ?? {};
    t.ok(ledger.hasBackup('c1'));
    ledger.setEngines(engines.map((item) => ({ ...item, isClosed: item.engineId === copyAt })));
    t.notOk(ledger.hasBackup('c1'));
    ledger.setEngines(engines.map((item) => ({ ...item, isClosed: item.engineId === engineId })));
    t.ok(ledger.hasBackup('c1'), 'closing its own engine makes no difference');
  },
);
