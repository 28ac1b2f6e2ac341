import * as tap from 'tap';

import * as engineLedgers from '../src/engine-ledger.js';

function createEngine(engineId: string, isClosed = false) {
  return { engineId, memoryTokens: 10_000, slots: 8, availabilityZone: 'a', isClosed };
}

function createNeed(callId: string, excluded: readonly string[] = []) {
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

// Guards against copies that are sent to an engine which is to get nothing new, and against runs that are moved there.
void tap.default.test('a closed engine keeps no new copy and takes nothing over', async (t) => {
  const ledger = new engineLedgers.EngineLedger();
  ledger.setEngines([createEngine('e-1'), createEngine('e-2', true)]);
  t.match(ledger.place(createNeed('c1'), 0), { engineId: 'e-1', copyAt: undefined });
  ledger.setEngines([createEngine('e-2', true)]);
  t.equal(
    ledger.reassignBackup('c1', 'e-1', [], 100),
    undefined,
    'no taker when its engine leaves',
  );
  ledger.setEngines([createEngine('e-2')]);
  t.equal(ledger.reassignBackup('c1', 'e-1', [], 100), 'e-2', 'but one when it is open again');
});

// Guards against a run that counts as kept at a copy from which it may not go on.
void tap.default.test('a copy at an engine that was closed since does not count', async (t) => {
  const ledger = new engineLedgers.EngineLedger();
  const engines = [createEngine('e-1'), createEngine('e-2')];
  ledger.setEngines(engines);
  const { copyAt = '', engineId = '' } = ledger.place(createNeed('c1'), 0) ?? {};
  t.ok(ledger.hasBackup('c1'));
  ledger.setEngines(engines.map((item) => ({ ...item, isClosed: item.engineId === copyAt })));
  t.notOk(ledger.hasBackup('c1'));
  ledger.setEngines(engines.map((item) => ({ ...item, isClosed: item.engineId === engineId })));
  t.ok(ledger.hasBackup('c1'), 'that its own engine is closed makes no difference');
});
