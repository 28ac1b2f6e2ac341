import * as z from 'zod';

import * as control from './control.js';
import type * as entryFaultLogs from './entry-fault-log.js';
import * as httpUrls from './http-url.js';
import * as members from './members.js';
import * as entryParses from './parse-entries.js';
import * as upstreams from './upstream.js';

/** Longest time for which an answer may be held back, in milliseconds. */
const MAX_WAIT_MS = 60_000;

/** Time for which a peer lets an answer be held back, in milliseconds; a timer can't wait for any time. */
export const waitMs = z.int().transform((ms) => Math.min(ms, MAX_WAIT_MS));

/** What a reader of a heartbeat or its answer left out. */
export interface UnreadableParts extends entryFaultLogs.UnreadableEntries {
  /** Whether a part that is only valid as a whole, such as the configuration, is among them. */
  readonly lacksPart: boolean;
}

const syncReqFrame = z.object({
  from: z.string(),
  incarnation: z.number(),
  availabilityZone: z.string(),
  /** Reports that changed since the receiver last answered; all of them after it set `needsBeats`. */
  beats: z.array(z.unknown()),
  isWhole: z.boolean(),
  /** Daemons that the sender reported before and reports no longer. */
  dropped: z.array(z.string()),
  revision: z.int(),
  directoryStamp: z.string(),
  entriesStamp: z.string(),
  waitMs,
  /** Sent after the receiver set `needsConfiguration`. */
  configuration: z.unknown().optional(),
});

/** A heartbeat, answered by long polling: at once if there are updates, otherwise after `waitMs` milliseconds. */
export type SyncReq = Omit<z.infer<typeof syncReqFrame>, 'beats' | 'configuration'> & {
  readonly beats: members.Heartbeat[];
  readonly configuration?: control.Configuration | undefined;
  /** Set by the receiver. */
  readonly unreadable?: UnreadableParts;
};

/**
 * A heartbeat as it arrives. A sender of another version may report daemons that the receiver can't read: these are
 * left out, while a heartbeat that lacks the sender's own report is refused.
 */
export const syncReq = syncReqFrame.transform(
  ({ beats, configuration, ...frame }, ctx): SyncReq => {
    const reader = new PartReader();
    const read = reader.readEntries(members.heartbeat, beats);
    const isOwn = (beat: unknown) =>
      z.looseObject({ daemonId: z.literal(frame.from) }).safeParse(beat).success;
    if (beats.some(isOwn) && !read.some(isOwn)) {
      ctx.addIssue({ code: 'custom', path: ['beats'], message: 'the report of the sender is bad' });
      return z.NEVER;
    }
    return {
      ...frame,
      beats: read,
      configuration: reader.readPart('configuration', control.configuration, configuration),
      ...reader.describe(),
    };
  },
);

const syncResFrame = z.object({
  revision: z.int(),
  deltas: z.unknown().optional(),
  configuration: z.unknown().optional(),
  directory: z.unknown().optional(),
  entries: z.unknown().optional(),
  /** Time since a leader confirmed that `revision` is the newest, in milliseconds. */
  ageMs: z.number(),
  leader: z.string().optional(),
  needsBeats: z.boolean(),
  needsConfiguration: z.boolean(),
});

type SyncResPart = 'configuration' | 'deltas' | 'directory' | 'entries';

/** Answer to a heartbeat; contains only what the sender does not have yet. */
export type SyncRes = Omit<z.infer<typeof syncResFrame>, SyncResPart> & {
  readonly deltas?: control.Delta[] | undefined;
  readonly configuration?: control.Configuration | undefined;
  readonly directory?: members.Directory | undefined;
  readonly entries?: members.ZoneEntries | undefined;
  /** Set by the receiver. */
  readonly unreadable?: UnreadableParts;
};

const directoryFrame = members.directory.extend({
  members: z.array(z.unknown()),
  upstreams: z.array(z.unknown()),
});

/**
 * The answer to a heartbeat as it arrives. Daemons and upstreams of the directory are read one by one. A configuration
 * is valid as a whole only: with a part of it, a daemon would serve teams by rules that no operator has declared.
 */
export const syncRes = syncResFrame.transform(
  ({ configuration, deltas, directory, entries, ...frame }): SyncRes => {
    const reader = new PartReader();
    const listed = reader.readPart('directory', directoryFrame, directory);
    return {
      ...frame,
      deltas: reader.readPart('deltas', z.array(control.delta), deltas),
      configuration: reader.readPart('configuration', control.configuration, configuration),
      directory: listed && {
        ...listed,
        members: reader.readEntries(members.member, listed.members),
        upstreams: reader.readEntries(upstreams.upstream, listed.upstreams),
      },
      entries: readZoneEntries(reader, entries),
      ...reader.describe(),
    };
  },
);

const zoneEntriesFrame = z.object({
  stamp: z.string(),
  urls: z.record(z.string(), z.array(z.unknown())),
});

function readZoneEntries(reader: PartReader, value: unknown): members.ZoneEntries | undefined {
  const read = reader.readPart('entries', zoneEntriesFrame, value);
  const urls = Object.entries(read?.urls ?? {}).map(
    ([zone, listed]) => [zone, reader.readEntries(httpUrls.httpUrl, listed)] as const,
  );
  return read && { stamp: read.stamp, urls: Object.fromEntries(urls) };
}

/** Reads the parts of one message and records what it leaves out. */
class PartReader {
  private unreadable = 0;
  private lacksPart = false;
  private readonly faults: string[] = [];

  /** Reads a part that is valid as a whole only. */
  public readPart<T>(name: string, schema: z.ZodType<T>, value: unknown): T | undefined {
    if (value === undefined) {
      return undefined;
    }
    const read = entryParses.parseEntries(schema, [value]);
    this.add(name, read);
    this.lacksPart ||= read.unreadable > 0;
    return read.entries[0];
  }

  /** Reads the entries of a list one by one. */
  public readEntries<T>(schema: z.ZodType<T>, values: readonly unknown[]): T[] {
    const read = entryParses.parseEntries(schema, values);
    this.add('entry', read);
    return read.entries;
  }

  /** Returns what was left out, for the message; nothing if all was read. */
  public describe(): { readonly unreadable?: UnreadableParts } {
    const { faults, lacksPart, unreadable } = this;
    return unreadable === 0 ? {} : { unreadable: { faults, lacksPart, unreadable } };
  }

  private add(name: string, read: entryFaultLogs.UnreadableEntries): void {
    this.unreadable += read.unreadable;
    this.faults.push(...read.faults.map((fault) => `${name}: ${fault}`));
  }
}
