import type * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as callAdmissions from '../src/call-admission.js';
import * as routedConfigurationStores from '../src/routed-configuration-store.js';
import * as sites from './support/small-site.js';
import * as testWire from './support/test-wire.js';

// Guards against a declared host that has a port, and whose calls all get 404.
void tap.default.test('a host is matched with its port, or without', async (t) => {
  const store = new routedConfigurationStores.RoutedConfigurationStore(
    new testWire.TestCodec(),
    new schemas.SilentLog(),
  );
  const config = sites.createConfig(1);
  const [route] = config.routes;
  const routes = [
    { ...route!, name: 'named', host: 'a.example' },
    { ...route!, name: 'ported', host: 'A.example:8080' },
    { ...route!, name: 'address', host: '[::1]' },
  ];
  store.offer({ version: 1, text: JSON.stringify({ ...config, routes }) });
  store.markReady();
  const wire = new testWire.TestWire();
  const admission = new callAdmissions.CallAdmission(
    store,
    wire,
    new schemas.VirtualClock(),
    () => 0,
  );
  const admit = (host: string) =>
    admission.admit({
      method: 'GET',
      url: `${route!.pathPrefix}x`,
      headers: { host, 'call-id': 'c1', key: 'k1' },
      rawHeaders: [],
    } as unknown as http.IncomingMessage).route.name;
  t.equal(admit('a.example'), 'named');
  t.equal(admit('a.example:99'), 'named');
  t.equal(admit('a.example:8080'), 'ported');
  t.equal(admit('[::1]:8080'), 'address');
  t.throws(() => admit('b.example:8080'), { options: { status: 404 } } as never);
});
