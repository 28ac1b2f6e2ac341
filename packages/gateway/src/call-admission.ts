import type * as http from 'node:http';

import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';
import type * as routedStores from './routed-configuration-store.js';

/** What a caller is told to wait while this host has no configuration, in seconds. */
const NOT_READY_RETRY_S = 1;

/** A call that was admitted: where it may go, for whom, and until when. */
export interface AdmittedCall {
  readonly facts: ports.CallFacts;
  readonly route: schemas.Route;
  readonly service: schemas.RoutedService;
  readonly team: schemas.KeyedTeam | undefined;
  /** The regions whose upstreams may run it; nothing where all may. */
  readonly regions: ReadonlySet<string> | undefined;
  readonly method: string;
  readonly path: string;
  readonly limits: schemas.CallerLimits;
  /** When it came, and when it must be answered, on this host's clock. */
  readonly arrivedAt: number;
  readonly endsAt: number;
}

/** The one place where a routed call is admitted or refused by its head. */
export class CallAdmission {
  public constructor(
    private readonly store: routedStores.RoutedConfigurationStore,
    private readonly wire: ports.CallWire,
    private readonly clock: schemas.Clock,
    private readonly random: () => number,
  ) {}

  /** The version of the configuration by which calls are admitted. */
  public getVersion(): number {
    return this.store.getVersion();
  }

  /** Admits a call, or throws the refusal. */
  public admit(req: http.IncomingMessage): AdmittedCall {
    const arrivedAt = this.clock.now();
    const table = this.store.findTable();
    if (table === undefined) {
      throw createRefusal('notReady', 503, [], NOT_READY_RETRY_S);
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

  private findRoute(
    table: routing.RouteTable,
    req: http.IncomingMessage,
    path: string,
  ): schemas.Route {
    const host = (req.headers.host ?? '').toLowerCase().replace(/:\d+$/, '');
    const route = table.findRoute(host, path);
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
    return team;
  }
}

/** Where route and team both name regions, both bind. */
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
