import type * as schemas from '@bramleyridge/schemas';

import * as servers from './fake-server.js';

/** Test double of the platform's host list; it returns the list as it was `lagMs` ago. */
export class FakePlatform {
  private history: { at: number; upstreams: schemas.Upstream[] }[] = [
    { at: -Infinity, upstreams: [] },
  ];
  private readonly server = new servers.FakeServer({
    'GET /v1/hosts': (req, res) => {
      const zone = req.query.availabilityZone;
      const upstreams = this.getLagging().filter(
        (item) => zone === undefined || item.availabilityZone === zone,
      );
      servers.sendJson(res, 200, { upstreams });
    },
    'POST /v1/hosts': (req, res) => {
      this.set(servers.parseBody(req) as schemas.Upstream[]);
      servers.sendJson(res, 200, {});
    },
  });

  public constructor(private readonly lagMs: number) {}

  /** Starts to listen and returns the address. */
  public async listen(): Promise<string> {
    return this.server.listen(0);
  }

  /** Sets the current list, which is served after `lagMs`. */
  public set(upstreams: schemas.Upstream[]): void {
    this.history.push({ at: performance.now(), upstreams });
  }

  /** Returns the current list without the lag. */
  public get(): schemas.Upstream[] {
    return this.history.at(-1)?.upstreams ?? [];
  }

  /** Closes the server and every connection at once. */
  public kill(): void {
    this.server.kill();
  }

  private getLagging(): schemas.Upstream[] {
    const visibleUntil = performance.now() - this.lagMs;
    return this.history.filter((item) => item.at <= visibleUntil).at(-1)?.upstreams ?? [];
  }
}
