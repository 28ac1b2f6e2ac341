import type * as schemas from '@bramleyridge/schemas';

import * as rateLimitTables from './rate-limit-table.js';
import type * as upstreamNotices from './upstream-notice.js';

/** Prefix of the ids under which hosts exchange which processes are brittle; no process id begins so. */
const ID_PREFIX = 'brittle/';

/** Dependencies of `BrittleServices`. */
export interface BrittleServicesOptions {
  /** Reports what an answer has stated first, changed or ended. */
  readonly report: (facts: rateLimitTables.RateLimitFacts) => void;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Returns whether facts state that a process is brittle, in place of a rate limit. */
export function isBrittleFacts({ processId }: rateLimitTables.RateLimitFacts): boolean {
  return processId.startsWith(ID_PREFIX);
}

/**
 * The services whose upstreams are brittle: one that turns away more than a number of calls in a second ends. Processes
 * state it, and it holds for all upstreams of their service, so that one that has just come back is spared as well.
 */
export class BrittleServices {
  private readonly table = new rateLimitTables.RateLimitTable();
  /** Number of calls a second that may be turned away, by service; computed anew after each change. */
  private bounds: ReadonlyMap<string, number> = new Map();

  public constructor(private readonly options: BrittleServicesOptions) {}

  /** Records what an answer of a process states, or that it states nothing. */
  public recordAnswer(
    service: string,
    processId: string,
    statement: upstreamNotices.NamedLimit | undefined,
  ): void {
    const isNamed = statement?.kind === 'named';
    if (!isNamed && this.bounds.size === 0) {
      return;
    }
    const { clock, report } = this.options;
    const now = clock.now();
    const id = createId(service, processId);
    const bound = isNamed ? statement.callsPerS : undefined;
    const change = this.table.record(id, bound, now, now);
    const facts = this.table.findFacts(id, now);
    if (facts !== undefined && change !== 'none') {
      this.refresh(facts, change);
      report(facts);
    }
  }

  /** Applies what other hosts have reported. */
  public merge(facts: rateLimitTables.RateLimitFacts): void {
    const change = this.table.merge(facts, this.options.clock.now());
    if (change !== 'none') {
      this.refresh(facts, change);
    }
  }

  /** Returns how many calls a second an upstream of a service may turn away; `undefined` if it is not brittle. */
  public findBound(service: string): number | undefined {
    return this.bounds.size === 0 ? undefined : this.bounds.get(service);
  }

  /** Lists what this host knows. */
  public list(): rateLimitTables.RateLimitFacts[] {
    return this.table.list(this.options.clock.now());
  }

  /** Counts the services whose upstreams are brittle. */
  public count(): number {
    return this.bounds.size;
  }

  private refresh(
    { callsPerS, processId }: rateLimitTables.RateLimitFacts,
    change: rateLimitTables.LimitChange,
  ): void {
    const bounds = new Map<string, number>();
    this.list().forEach((facts) => {
      if (facts.callsPerS !== undefined) {
        const service = getService(facts.processId);
        bounds.set(service, Math.min(facts.callsPerS, bounds.get(service) ?? Infinity));
      }
    });
    this.bounds = bounds;
    this.options.log.info({
      event: 'upstream-brittle',
      upstream: processId.slice(processId.lastIndexOf('/') + 1),
      service: getService(processId),
      change,
      rejectionsPerS: callsPerS,
    });
  }
}

function createId(service: string, processId: string): string {
  // A URI can't hold half of a surrogate pair.
  const name = encodeURIComponent(service.replace(/\p{Surrogate}/gu, '\ufffd'));
  return `${ID_PREFIX}${name}/${processId}`;
}

function getService(id: string): string {
  return decodeURIComponent(id.slice(ID_PREFIX.length).split('/', 1)[0] ?? '');
}
