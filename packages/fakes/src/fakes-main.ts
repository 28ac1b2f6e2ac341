import * as fs from 'node:fs';

import type * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

import * as engines from './fake-engine.js';
import * as platforms from './fake-platform.js';
import * as services from './fake-service.js';

const fakesConfig = z.object({
  platformLagMs: z.int(),
  zones: z.array(
    z.object({
      availabilityZone: z.string(),
      engines: z.int(),
      services: z.array(z.string()),
    }),
  ),
  models: z.array(z.object({ model: z.string(), version: z.string() })),
  tokensTotal: z.int(),
  speed: z.number(),
  reportLagMs: z.int(),
});

/** Starts the test doubles that a settings file describes and prints their addresses as one JSON line. */
async function main(): Promise<void> {
  const cfg = fakesConfig.parse(JSON.parse(fs.readFileSync(process.argv[2] ?? '', 'utf8')));
  const upstreams: schemas.Upstream[] = [];
  for (const zone of cfg.zones) {
    for (let i = 1; i <= zone.engines; i += 1) {
      const upstreamId = `engine-${zone.availabilityZone}-${i}`;
      const engine = new engines.FakeEngine({
        upstreamId,
        shape: { tokensTotal: cfg.tokensTotal },
        models: cfg.models,
        checksFencing: i % 2 === 1,
        reportLagMs: cfg.reportLagMs,
        speed: cfg.speed,
      });
      upstreams.push({
        upstreamId,
        kind: 'engine',
        availabilityZone: zone.availabilityZone,
        url: await engine.listen(),
        state: 'live',
        checksFencing: i % 2 === 1,
      });
    }
    for (const name of zone.services) {
      upstreams.push({
        upstreamId: `${name}-${zone.availabilityZone}`,
        kind: 'service',
        service: name,
        availabilityZone: zone.availabilityZone,
        url: await new services.FakeService().listen(),
        state: 'live',
        checksFencing: false,
      });
    }
  }
  const platform = new platforms.FakePlatform(cfg.platformLagMs);
  platform.set(upstreams);
  const platformUrl = await platform.listen();
  process.stdout.write(`${JSON.stringify({ platformUrl, upstreams })}\n`);
}

await main();
