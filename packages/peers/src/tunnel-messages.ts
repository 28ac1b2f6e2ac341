/** Size of the length that precedes each chunk sent back through a tunnel, in bytes. */
export const CHUNK_HEAD_BYTES = 4;

/** Maximum size of one chunk, in bytes; a longer one means that the stream is corrupt. */
export const MAX_CHUNK_BYTES = 1024 * 1024;

/** The length that announces, once, that the peer is leaving; no bytes follow it. */
export const LEAVING_LENGTH = 0x80000000;

/** Announces that the peer is leaving: it relays what is under way, and the connection is to be used for no other call. */
export const LEAVING_CHUNK = createLeavingChunk();

/** The head of an empty chunk, which marks that the far end has closed its connection normally. */
export const END_CHUNK = Buffer.alloc(CHUNK_HEAD_BYTES);

/** Request of a host for a connection to an upstream, which the peer makes and relays. */
export interface TunnelRequest {
  /** IP address and port of the upstream. */
  readonly address: string;
  /** Time limit for the peer's connect, in milliseconds. */
  readonly connectMs: number;
  /** Whether the host knows the announcement that the peer is leaving; hosts of the previous version don't. */
  readonly takesLeaving?: boolean | undefined;
  /** Whether it is to check the upstream only, for a moment; the peer keeps room for checks. */
  readonly isCheck?: boolean | undefined;
}

/**
 * Answer to the request: `connected`; the upstream `refused` the connection or did not answer (`unreachable`); the peer
 * relays no more connections (`busy`), doesn't know the upstream (`unlisted`), or can't reach it, as it has found
 * before (`cut`).
 */
export const TUNNEL_RESULTS = [
  'connected',
  'refused',
  'unreachable',
  'busy',
  'unlisted',
  'cut',
] as const;

/** Answer to the request for a tunnel. */
export type TunnelResult = (typeof TUNNEL_RESULTS)[number];

/** A request for a tunnel that failed. */
export class TunnelError extends Error {
  public override readonly name = 'TunnelError';

  public constructor(
    public readonly peer: string,
    /** The peer's answer; `lost` without one. */
    public readonly result: Exclude<TunnelResult, 'connected'> | 'lost',
    cause?: unknown,
  ) {
    super(`the peer ${peer} has opened no tunnel: ${result}`, { cause });
  }
}

function createLeavingChunk(): Buffer {
  const head = Buffer.alloc(CHUNK_HEAD_BYTES);
  head.writeUInt32BE(LEAVING_LENGTH);
  return head;
}
