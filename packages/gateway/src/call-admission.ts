import type * as http from 'node:http';

import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';
import type * as routedConfigurationStores from './routed-configuration-store.js';

/** The Retry-After value while this host has no configuration, in seconds. */
const NOT_READY_RETRY_AFTER_S = 1;

/** An admitted call with its route, service, team and deadline. */
export interface AdmittedCall {
  readonly facts: ports.CallFacts;
  readonly route: schemas.Route;
  readonly service: schemas.RoutedService;
  readonly team: schemas.KeyedTeam | undefined;
  /** The regions whose upstreams may run it; undefined if all may. */
  readonly regions: ReadonlySet<string> | undefined;
  readonly method: string;
  readonly path: string;
  readonly limits: schemas.CallerLimits;
  /** Arrival time and deadline on this host's clock, in milliseconds. */
  readonly arrivedAt: number;
  readonly endsAt: number;
}

/** Admits or refuses routed calls by their request line and headers. */
export class CallAdmission {
  public constructor(
    private readonly store: routedConfigurationStores.RoutedConfigurationStore,
    private readonly wire: ports.CallWire,
    private readonly clock: schemas.Clock,
    private readonly random: () => number,
  ) {}

  /** Returns the version of the configuration that admission uses. */
  public getVersion(): number {
    return this.store.getVersion();
  }

  /** Admits a call, or throws a refusal. */
  public admit(req: http.IncomingMessage): AdmittedCall {
    const arrivedAt = this.clock.now();
    const table = this.store.findTable();
    if (table === undefined) {
      throw createRefusal('notReady', 503, [], NOT_READY_RETRY_AFTER_S);
    }
    const { limits } = table.config;
    checkHeaderSize(req, limits);
    const path = req.url ?? '';
    const route = this.findRoute(table, req, path);
    const facts = this.wire.readCall(req.headers);
    const team = this.authenticate(table, route, facts);
    const service = table.findService(routing.drawService(route, this.random));
    if (service === undefined) {
      throw createRefusal('noRoute', 404, [req.method ?? '', path.slice(0, 200)]);
    }
    const waitMs = Math.min(facts.callerTimeoutMs ?? Infinity, route.timeoutMs);
    const endsAt = arrivedAt + waitMs;
    const method = req.method ?? 'GET';
    const regions = intersect(route.regions, team?.regions);
    return { facts, route, service, team, regions, method, path, limits, arrivedAt, endsAt };
  }

  /** Returns whether a call may run more than once, both by the route that admitted it and by the configuration now. */
  public isRepeatable({ path, route }: AdmittedCall): boolean {
    const current = this.store.findTable()?.findRoute(route.host, path) ?? route;
    return [route, current].every(({ repeatability }) => repeatability === 'idempotent');
  }

  private findRoute(
    table: routing.RouteTable,
    req: http.IncomingMessage,
    path: string,
  ): schemas.Route {
    const host = (req.headers.host ?? '').toLowerCase();
    const route = table.findRoute(host, path) ?? table.findRoute(host.replace(/:\d+$/, ''), path);
    if (route === undefined) {
      throw createRefusal('noRoute', 404, [req.method ?? '', path.slice(0, 200)]);
    }
    return route;
  }

  private authenticate(
    table: routing.RouteTable,
    route: schemas.Route,
    facts: ports.CallFacts,
  ): schemas.KeyedTeam | undefined {
    const team = facts.key === undefined ? undefined : table.findTeam(facts.key);
    if (team === undefined && table.needsKey(route)) {
      throw createRefusal('teamKey', 401, []);
    }
    if (team !== undefined && !schemas.isHeaderText(team.name)) {
      throw createRefusal('teamUnsendable', 503, [JSON.stringify(team.name.slice(0, 80))]);
    }
    return team;
  }
}

/** Combines the regions of route and team: if both are set, only regions in both are allowed. */
function intersect(
  one: readonly string[] | undefined,
  other: readonly string[] | undefined,
): ReadonlySet<string> | undefined {
  if (one === undefined || other === undefined) {
    const named = one ?? other;
    return named && new Set(named);
  }
  return new Set(one.filter((region) => other.includes(region)));
}

function checkHeaderSize(req: http.IncomingMessage, limits: schemas.CallerLimits): void {
  const size = req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
  if (size > limits.headerBytes) {
    throw createRefusal('headersTooLarge', 431, [limits.headerBytes]);
  }
}

function createRefusal(
  id: schemas.MessageId,
  status: number,
  args: readonly (string | number)[],
  retryAfterS?: number,
): schemas.Refusal {
  return new schemas.Refusal({
    id,
    step: 'admit',
    status,
    outcome: 'not-run',
    args,
    retryAfterS,
  });
}
