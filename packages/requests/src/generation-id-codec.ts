import * as crypto from 'node:crypto';

/** The bytes of the authentication code in an identifier. */
const MAC_BYTES = 9;

/** What a generation's identifier says. */
export interface GenerationId {
  readonly availabilityZone: string;
  readonly daemonId: string;
  readonly incarnation: string;
  readonly counter: string;
  readonly upstreamId: string;
}

/**
 * Identifiers that tell where a generation runs, so that any daemon can continue it without asking the one
 * that began it. The code at the end binds them to the team: guessing one gives no answer of another's.
 */
export class GenerationIdCodec {
  public constructor(private readonly getKeys: () => readonly Buffer[]) {}

  /** Makes an identifier. */
  public encode(id: GenerationId, team: string): string {
    const text = [id.availabilityZone, id.daemonId, id.incarnation, id.counter, id.upstreamId].join(
      '.',
    );
    return `${text}.${getMac(this.getKeys()[0]!, text, team)}`;
  }

  /** Reads an identifier of a team; nothing when it is not one of this team's. */
  public decode(generation: string, team: string): GenerationId | undefined {
    const parts = generation.split('.');
    const mac = parts.at(-1);
    if (parts.length !== 6 || mac === undefined) {
      return undefined;
    }
    const text = parts.slice(0, -1).join('.');
    const isOurs = this.getKeys().some((key) => isSame(getMac(key, text, team), mac));
    const [availabilityZone, daemonId, incarnation, counter, upstreamId] = parts;
    return isOurs
      ? ({ availabilityZone, daemonId, incarnation, counter, upstreamId } as GenerationId)
      : undefined;
  }
}

function getMac(key: Buffer, text: string, team: string): string {
  const mac = crypto.createHmac('sha256', key).update(`generation/${team}/${text}`).digest();
  return mac.subarray(0, MAC_BYTES).toString('base64url');
}

function isSame(a: string, b: string): boolean {
  return a.length === b.length && crypto.timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
