import * as net from 'node:net';
import type * as stream from 'node:stream';
import * as tls from 'node:tls';

import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';

import * as callParts from './call-parts.js';
import * as frames from './frame.js';
import type * as keyrings from './keyring.js';
import * as linkCounts from './link-counts.js';
import * as peerConnections from './peer-connections.js';
import * as relayTunnels from './relay-tunnel.js';
import * as tlsOptions from './tls-options.js';
import type * as tunnelMessages from './tunnel-messages.js';

/** Opens a connection to an upstream for a peer, or says why not. */
export type OpenTunnel = (
  req: tunnelMessages.TunnelRequest,
) => Promise<stream.Duplex | Exclude<tunnelMessages.TunnelResult, 'connected'>>;

/** Time for a TLS handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 10_000;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  /** Keys of the TLS connections; `undefined` on a trusted network, where connections are plain TCP. */
  readonly keyring: keyrings.Keyring | undefined;
  readonly log: schemas.Log;
  /** Whether incoming frames and their answers are dropped; failure tests simulate a network partition with it. */
  readonly isCut?: () => boolean;
  /** Opens tunnels for peers; without it, none are opened. */
  readonly openTunnel?: OpenTunnel | undefined;
  /** Aborted when this host stops as planned: peers are to use their tunnels for no other call. */
  readonly leaving?: AbortSignal | undefined;
  /** What peers may hold; {@link peerConnections.DEFAULT_PEER_LIMITS} by default. */
  readonly limits?: peerConnections.PeerLimits | undefined;
  /** Called when a connection is closed because of the limits. */
  readonly onClosed?: ((reason: peerConnections.PeerCloseReason) => void) | undefined;
}

type CallFrame = Extract<frames.Frame, readonly ['call', ...unknown[]]>;

interface Connection {
  readonly socket: net.Socket;
  /** What the peer holds. */
  readonly held: peerConnections.PeerConnection;
  readonly writer: frames.FrameWriter;
  readonly calls: Map<number, AbortController>;
  /** Calls of which some parts have arrived. */
  readonly partial: Map<number, callParts.CallPartCollector>;
}

/** Serves a tRPC router to the other daemons. */
export class PeerServer {
  public readonly counts = new linkCounts.LinkCounts();
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();
  /** For each tunnel, the function that announces to its peer that this host is leaving. */
  private readonly announcements = new Set<() => void>();
  private readonly limits: peerConnections.PeerLimits;
  private readonly connections: peerConnections.PeerConnections;

  public constructor(
    private readonly router: trpc.AnyTRPCRouter,
    private readonly options: PeerServerOptions,
  ) {
    const { limits = peerConnections.DEFAULT_PEER_LIMITS, log, onClosed } = options;
    this.limits = limits;
    this.connections = new peerConnections.PeerConnections({ limits, log, onClosed });
    this.server = this.createServer();
    options.leaving?.addEventListener('abort', () => {
      this.announcements.forEach((announce) => announce());
    });
    this.server.prependListener('connection', (socket) => this.connections.open(socket));
    // An accept that fails, such as for want of descriptors, concerns one connection; without a handler it would end the process.
    this.server.on('error', (err) => {
      options.log.warn({ event: 'listener-failed', step: 'accept-peer', err: err.message });
    });
  }

  /** Starts to listen and returns the port. */
  public async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening and closes every connection. */
  public close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private createServer(): net.Server {
    const { keyring, log } = this.options;
    const onConnection = (socket: net.Socket) => this.handleConnection(socket);
    if (keyring === undefined) {
      return net.createServer(onConnection);
    }
    const pskCallback = (_socket: tls.TLSSocket, identity: string) =>
      keyring.findKey(identity) ?? null;
    const server = tls.createServer(
      { ...tlsOptions.pskOptions, pskCallback, handshakeTimeout: HANDSHAKE_TIMEOUT_MS },
      onConnection,
    );
    server.on('tlsClientError', (err, socket) => {
      log.warn({ step: 'accept-peer', peer: socket.remoteAddress, err: err.message });
    });
    return server;
  }

  private handleConnection(socket: net.Socket): void {
    const held = this.connections.find(socket);
    if (held === undefined) {
      socket.destroy();
      return;
    }
    const reader = new frames.FrameReader(this.limits.frameBytes);
    const writer = new frames.FrameWriter();
    const connection: Connection = { socket, held, writer, calls: new Map(), partial: new Map() };
    const { calls, partial } = connection;
    held.drop = () => {
      reader.clear();
      partial.clear();
    };
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', (err) => {
      this.options.log.debug({ step: 'serve-peer', peer: socket.remoteAddress, err: err.message });
    });
    socket.on('close', () => {
      this.sockets.delete(socket);
      calls.forEach((call) => call.abort());
    });
    socket.on('data', (bytes: Buffer) => {
      this.counts.recordReceived(bytes.length);
      try {
        for (const frame of reader.push(bytes)) {
          held.hasFrame = true;
          this.handleFrame(connection, frame);
          if (frame[0] === 'tunnel') {
            // Nothing that has arrived with it is a frame any more.
            reader.takeRest();
            break;
          }
        }
        this.connections.setHeldBytes(held, reader.getHeldBytes() + countPartialBytes(connection));
        this.pauseUntilDrain(socket);
      } catch (err) {
        const { message } = schemas.toError(err);
        this.options.log.warn({ step: 'read-frame', peer: socket.remoteAddress, err: message });
        socket.destroy();
      }
    });
  }

  /** Reads no more from a peer that doesn't read; otherwise the answers to what it sends would fill the memory. */
  private pauseUntilDrain(socket: net.Socket): void {
    if (socket.writableNeedDrain && !socket.isPaused()) {
      socket.pause();
      socket.once('drain', () => socket.resume());
    }
  }

  private handleFrame(connection: Connection, frame: frames.Frame): void {
    if (this.options.isCut?.()) {
      return;
    }
    if (frame[0] === 'ping') {
      this.send(connection, ['pong']);
    } else if (frame[0] === 'cancel') {
      connection.partial.delete(frame[1]);
      connection.calls.get(frame[1])?.abort();
    } else if (frame[0] === 'parts') {
      this.send(connection, ['parts']);
    } else if (frame[0] === 'part') {
      this.handlePart(connection, frame);
    } else if (frame[0] === 'call') {
      this.startCall(connection, frame);
    } else if (frame[0] === 'tunnel') {
      const [, address, connectMs, takesLeaving, isCheck] = frame;
      const req = { address, connectMs, takesLeaving, isCheck };
      this.runInBackground(() => this.handleTunnel(connection, req), connection, 'open-tunnel');
    }
  }

  private handlePart(
    connection: Connection,
    [, id, offset, bytes, isLast]: Extract<frames.Frame, readonly ['part', ...unknown[]]>,
  ): void {
    const { partial } = connection;
    if (!partial.has(id) && partial.size >= this.limits.callsPerConnection) {
      const args = [this.limits.callsPerConnection];
      throw new schemas.StepError({ id: 'peerBusy', step: 'read-part', args });
    }
    const call = offset === 0 ? new callParts.CallPartCollector() : partial.get(id);
    if (call?.receivedBytes !== offset) {
      // The call was cancelled while this part was on its way.
      return;
    }
    call.add({ offset, bytes, isLast });
    partial.set(id, call);
    this.send(connection, ['taken', id, call.receivedBytes]);
    if (isLast) {
      partial.delete(id);
      this.startCall(connection, ['call', id, ...call.decode()]);
    }
  }

  /** Opens a tunnel; the connection carries nothing else from then on. */
  private async handleTunnel(
    connection: Connection,
    req: tunnelMessages.TunnelRequest,
  ): Promise<void> {
    const { socket } = connection;
    socket.removeAllListeners('data');
    socket.pause();
    const far = await this.openTunnel(connection, req);
    const result = typeof far === 'string' ? far : 'connected';
    if (socket.destroyed) {
      if (typeof far !== 'string') {
        far.destroy();
      }
      return;
    }
    this.send(connection, ['tunnelled', result]);
    if (typeof far === 'string') {
      socket.end();
    } else {
      const announce = relayTunnels.relayTunnel(socket, far);
      if (req.takesLeaving === true) {
        this.addAnnouncement(socket, announce);
      }
    }
  }

  private addAnnouncement(socket: net.Socket, announce: () => void): void {
    if (this.options.leaving?.aborted === true) {
      announce();
      return;
    }
    this.announcements.add(announce);
    socket.once('close', () => this.announcements.delete(announce));
  }

  /** Opens a connection for a tunnel; what this host can't open for an error of its own counts as busy. */
  private async openTunnel(
    { socket }: Connection,
    req: tunnelMessages.TunnelRequest,
  ): Promise<Awaited<ReturnType<OpenTunnel>>> {
    try {
      return (await this.options.openTunnel?.(req)) ?? 'busy';
    } catch (err) {
      const { message } = schemas.toError(err);
      this.options.log.warn({ step: 'open-tunnel', peer: socket.remoteAddress, err: message });
      return 'busy';
    }
  }

  private startCall(connection: Connection, frame: CallFrame): void {
    const end = this.connections.beginCall(connection.held);
    if (typeof end === 'string') {
      this.refuseCall(connection, frame, end);
      return;
    }
    const run = () => this.handleCall(connection, frame).finally(end);
    this.runInBackground(run, connection, 'answer-peer');
  }

  private refuseCall(
    connection: Connection,
    [, id, path]: CallFrame,
    why: 'busy' | 'closed',
  ): void {
    if (why === 'busy') {
      const err = new schemas.StepError({ id: 'peerBusy', step: path, args: [this.limits.calls] });
      this.send(connection, ['failure', id, err.message, err.id]);
    }
  }

  private runInBackground(run: () => Promise<void>, { socket }: Connection, step: string): void {
    const { log } = this.options;
    schemas.runInBackground(run, { log, step, peer: socket.remoteAddress });
  }

  private async handleCall(connection: Connection, [, id, path, input]: CallFrame): Promise<void> {
    const { calls, socket } = connection;
    const abort = new AbortController();
    calls.set(id, abort);
    const reply = await this.callProcedure(path, input, abort.signal)
      .then((output): frames.Frame => createReply(id, path, output))
      .catch((err: unknown): frames.Frame => {
        return ['failure', id, schemas.toError(err).message, getCode(err)];
      });
    calls.delete(id);
    if (!socket.destroyed && !abort.signal.aborted && !this.options.isCut?.()) {
      this.send(connection, reply);
    }
  }

  private send({ socket, writer }: Connection, frame: frames.Frame): void {
    const bytes = writer.encode(frame);
    this.counts.recordSent(bytes.length);
    socket.write(bytes);
  }

  private async callProcedure(path: string, input: unknown, signal: AbortSignal): Promise<unknown> {
    return (await trpc.callTRPCProcedure({
      router: this.router,
      path,
      type: 'mutation',
      ctx: {},
      getRawInput: () => Promise.resolve(input),
      signal,
      batchIndex: 0,
    })) as unknown;
  }
}

function countPartialBytes({ partial }: Connection): number {
  let bytes = 0;
  partial.forEach((call) => {
    bytes += call.allocatedBytes;
  });
  return bytes;
}

function createReply(id: number, path: string, output: unknown): frames.Frame {
  const bytes = schemas.estimateEncodedBytes(output);
  if (bytes <= frames.MAX_FRAME_BYTES) {
    return ['result', id, output];
  }
  const args = [bytes, frames.MAX_FRAME_BYTES];
  const err = new schemas.StepError({ id: 'frameTooLarge', step: path, args });
  return ['failure', id, err.message, err.id];
}

function getCode(err: unknown): string {
  const cause = err instanceof Error ? (err.cause ?? err) : err;
  return cause instanceof schemas.StepError ? cause.id : 'INTERNAL';
}
