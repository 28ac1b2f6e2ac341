import type * as stream from 'node:stream';

import * as undici from 'undici';

import * as answerHeads from './answer-head.js';
import * as endGuards from './end-guard.js';
import * as framingMeters from './framing-meter.js';
import * as leavingTunnels from './leaving-tunnel.js';
import * as unsentCalls from './unsent-call.js';

/**
 * An HTTP client of one connection that is closed when its upstream sends bytes without end that are no answer, an answer
 * whose head or trailers HTTP does not allow, or the end of an answer before the request was sent.
 */
export class BoundedClient extends undici.Client {
  private readonly guard: endGuards.EndGuard;
  private readonly meter: framingMeters.FramingMeter;
  private readonly tunnel: leavingTunnels.LeavingTunnel;
  private connection: stream.Duplex | undefined;

  public constructor(origin: string | URL, { connect, ...options }: undici.Client.Options) {
    const meter = new framingMeters.FramingMeter();
    const guard = new endGuards.EndGuard();
    const tunnel = new leavingTunnels.LeavingTunnel();
    const guarded = guard.guardConnector(meter.meterConnector(connect));
    const note: undici.buildConnector.connector = (req, callback) => {
      guarded(req, (...result) => {
        this.connection = result[1] ?? undefined;
        callback(...result);
      });
    };
    super(origin, { ...options, connect: tunnel.watchConnector(note) });
    this.guard = guard;
    this.meter = meter;
    this.tunnel = tunnel;
    // By then the client reads from the connection.
    this.on('connect', () => meter.begin());
  }

  /** Returns the connection if it is open and no call uses it or waits for it. */
  public findIdle(): stream.Duplex | undefined {
    const { connection } = this;
    return this.stats.size === 0 && connection?.destroyed === false ? connection : undefined;
  }

  /** Returns the number of parts in which the bodies of answers have arrived. */
  public countParts(): number {
    return this.meter.partCount;
  }

  public override dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const marked = unsentCalls.markUnsent(handler);
    const checked = answerHeads.checkAnswer(marked, () => this.meter.close());
    const watched = this.tunnel.watchCall(this.meter.meterAnswer(checked));
    return super.dispatch(options, this.guard.guardCall(options, watched));
  }
}

/** The clients of an agent that are connected, the oldest first. */
export type ConnectedClients = Set<BoundedClient>;

/** Creates an agent whose connections are those of bounded clients, which it adds to `connected` while they are open. */
export function createBoundedAgent(
  options: undici.Agent.Options,
  connected: ConnectedClients = new Set(),
): undici.Agent {
  const createClient = (origin: string | URL, clientOptions: undici.Client.Options) => {
    const client = new BoundedClient(origin, clientOptions);
    client.on('connect', () => connected.add(client));
    client.on('disconnect', () => connected.delete(client));
    return client;
  };
  const createPool = (origin: string | URL, poolOptions: undici.Pool.Options) =>
    poolOptions.connections === 1
      ? createClient(origin, poolOptions)
      : new undici.Pool(origin, { ...poolOptions, factory: createClient });
  return new undici.Agent({ ...options, factory: createPool });
}
