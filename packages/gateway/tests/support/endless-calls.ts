import * as http from 'node:http';

import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';

import * as smallSites from './small-site.js';

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** What a caller saw of an answer. */
export interface Seen {
  readonly status: number;
  readonly outcome: string;
  readonly isWhole: boolean;
  readonly tookMs: number;
}

/** Makes a call whose answer is read and not kept; calls with different bodies are not taken for one bad call. */
export function call(port: number, path: string, body: string, patienceMs: number): Promise<Seen> {
  const startedAt = performance.now();
  const headers = { host: 'site.example', 'call-id': 'c1', key: 'k1', tokens: '50' };
  return new Promise((resolve) => {
    let seen = { status: 0, outcome: '' };
    const end = (isWhole: boolean) =>
      resolve({ ...seen, isWhole, tookMs: performance.now() - startedAt });
    const req = http.request({
      host: '127.0.0.1',
      port,
      path,
      method: 'POST',
      headers: { ...headers, patience: String(patienceMs) },
      agent: false,
    });
    req.on('response', (res) => {
      seen = {
        status: res.statusCode ?? 0,
        outcome: String(res.headers[schemas.OUTCOME_HEADER] ?? ''),
      };
      res.on('error', () => {});
      res.on('close', () => end(res.complete));
      res.resume();
    });
    req.on('error', () => end(false));
    req.end(body);
  });
}

/** Lists endless upstreams, each of a service and a route of its own; returns them by the paths of their calls. */
export async function addEndless(
  site: smallSites.SmallSite,
  t: Teardown,
  kinds: Readonly<Record<string, fakes.EndlessBytes>>,
  routeName: string,
  more: Pick<schemas.RoutedConfig, 'routes' | 'services'> = { routes: [], services: [] },
) {
  const config = smallSites.createConfig(1);
  const route = config.routes.find(({ name }) => name === routeName)!;
  const service = config.services.find(({ name }) => name === route.targets[0]!.service)!;
  const listed = { availabilityZone: 'a', isLeaving: false, slots: 4, coldMs: 0 };
  const added = await Promise.all(
    Object.entries(kinds).map(async ([kind, bytes], i) => {
      const endless = new fakes.EndlessUpstream(bytes);
      const address = await endless.listen();
      t.teardown(() => endless.close());
      const name = `${routeName}-${i}`;
      site.list.upstreams.push({ upstreamId: name, service: name, address, ...listed });
      return { kind, name, path: `/${name}/`, endless };
    }),
  );
  await site.declare({
    routes: [
      ...more.routes,
      ...added.map(({ name, path }) => ({
        ...route,
        name,
        pathPrefix: path,
        targets: [{ service: name, weight: 1 }],
      })),
    ],
    services: [...more.services, ...added.map(({ name }) => ({ ...service, name }))],
  });
  await site.until('listed', () =>
    added.every(({ name }) => site.entry.directory.listLive(name).length > 0),
  );
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  return added;
}
