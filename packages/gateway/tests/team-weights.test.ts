import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as hostSettings from '../src/host-settings.js';
import * as teamWeights from '../src/team-weights.js';
import * as sites from './support/small-site.js';

function createTable(version: number, weights: Record<string, number | undefined>) {
  const teams: schemas.KeyedTeam[] = Object.entries(weights).map(([name, weight]) => ({
    name,
    keys: [name],
    weight,
  }));
  return new routing.RouteTable({ ...sites.createConfig(version), teams });
}

function createWeights() {
  const state = {
    capacitySharing: undefined as hostSettings.CapacitySharing | undefined,
    table: undefined as routing.RouteTable | undefined,
  };
  const weights = new teamWeights.TeamWeights({
    getSettings: () => state,
    findTable: () => state.table,
  });
  return { state, weights };
}

// Guards against a weight of the configuration that overrides the settings, and against teams without any share.
void tap.default.test('settings override the configuration, and the default is 1', async (t) => {
  const { state, weights } = createWeights();
  t.notOk(weights.isSharing());
  t.equal(weights.get('registry'), 1, 'without settings and configuration');
  state.table = createTable(1, { registry: 2, sales: 4, mail: undefined });
  t.equal(weights.get('registry'), 2);
  state.capacitySharing = { teamWeights: { registry: 3 } };
  t.ok(weights.isSharing());
  t.same(
    ['registry', 'sales', 'mail', 'unknown', ''].map((team) => weights.get(team)),
    [3, 4, 1, 1, 1],
  );
});

// Guards against weights that are kept from an earlier version or earlier settings.
void tap.default.test('weights follow the settings and the configuration in force', async (t) => {
  const { state, weights } = createWeights();
  state.capacitySharing = { teamWeights: { registry: 3 } };
  state.table = createTable(1, { registry: 2, sales: 4 });
  t.equal(weights.get('sales'), 4);
  state.table = createTable(2, { registry: 5 });
  state.capacitySharing = { teamWeights: {} };
  t.equal(weights.get('sales'), 1);
  t.equal(weights.get('registry'), 5);
});

// Guards against names that every object has.
void tap.default.test('a team may have any name', async (t) => {
  const { state, weights } = createWeights();
  state.capacitySharing = { teamWeights: {} };
  ['constructor', 'toString', '__proto__'].forEach((team) => t.equal(weights.get(team), 1, team));
});
