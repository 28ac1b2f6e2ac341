import * as crypto from 'node:crypto';

/** The length of the message authentication code in an identifier, in bytes. */
const MAC_BYTES = 9;

/** The parts of a generation's identifier. */
export interface GenerationId {
  readonly availabilityZone: string;
  readonly daemonId: string;
  readonly incarnation: string;
  readonly counter: string;
  readonly upstreamId: string;
}

/**
 * Encodes and decodes identifiers that contain the location of a generation, so that any daemon can resume it without
 * asking the one that started it. The authentication code at the end binds an identifier to its team, so that a
 * guessed one gives no access to another team's output.
 */
export class GenerationIdCodec {
  public constructor(private readonly getKeys: () => readonly Buffer[]) {}

  /** Encodes an identifier for a team. */
  public encode(id: GenerationId, team: string): string {
    const text = [id.availabilityZone, id.daemonId, id.incarnation, id.counter, id.upstreamId].join(
      '.',
    );
    return `${text}.${getMac(this.getKeys()[0]!, text, team)}`;
  }

  /** Decodes an identifier; returns `undefined` when it is not one of this team's. */
  public decode(generation: string, team: string): GenerationId | undefined {
    const parts = generation.split('.');
    const mac = parts.at(-1);
    if (parts.length !== 6 || mac === undefined) {
      return undefined;
    }
    const text = parts.slice(0, -1).join('.');
    const isAuthentic = this.getKeys().some((key) => areEqual(getMac(key, text, team), mac));
    const [availabilityZone, daemonId, incarnation, counter, upstreamId] = parts;
    return isAuthentic
      ? ({ availabilityZone, daemonId, incarnation, counter, upstreamId } as GenerationId)
      : undefined;
  }
}

function getMac(key: Buffer, text: string, team: string): string {
  const mac = crypto.createHmac('sha256', key).update(`generation/${team}/${text}`).digest();
  return mac.subarray(0, MAC_BYTES).toString('base64url');
}

function areEqual(a: string, b: string): boolean {
  return a.length === b.length && crypto.timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
