import * as consensus from '@bramleyridge/consensus';
import * as intents from '@bramleyridge/intents';
import * as paths from '@bramleyridge/paths';
import * as peers from '@bramleyridge/peers';
import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as z from 'zod';

import * as slotMessages from './slot-messages.js';

/** Announcement of a core host to another, with the core hosts that it knows. */
export const helloReq = z.object({
  coreId: z.string(),
  /** Voter ID of its data folder. */
  voterId: z.string(),
  availabilityZone: z.string().optional(),
  /** Set when the host is about to stop and wants another host to take its voter slot. */
  isLeaving: z.boolean().optional(),
  known: z.array(z.string()),
});

/** Answer to an announcement. */
export const helloRes = z.object({ known: z.array(z.string()), leader: z.string().optional() });

/** Position in the leader's changes to suspects: the leader's term and the revision received last. */
export const suspectCursor = z.object({ term: z.int(), revision: z.int() });

/** Position in a core host's changes to rate limits: the core host and the revision received last. */
export const rateLimitCursor = z.object({ source: z.string(), revision: z.int() });

/** Request for a part of a document, by its position in the compressed text, in bytes. */
export const documentPartReq = z.object({
  version: z.int(),
  /** Identifies the compressed text. */
  digest: z.string(),
  offset: z.int().min(0),
});

/** Part of a compressed document. */
export const documentPart = documentPartReq.extend({
  totalBytes: z.int(),
  bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** Answer to a request for a part; without one if the core host does not have it. */
export const documentPartRes = z.object({ part: documentPart.optional() });

/** Long poll of an entry host for state newer than what it has. */
export const updatesReq = z.object({
  hostId: z.string(),
  version: z.int(),
  /** Identifies the content of the list of upstreams. */
  listStamp: z.string(),
  waitMs: z.number(),
  /** Whether the list may be sent packed; hosts of the previous version take it as it is. */
  takesPacked: z.boolean().optional(),
  /** Whether a document may be sent in parts; hosts of the previous version take it whole. */
  takesDocumentParts: z.boolean().optional(),
  /** Version that the host has begun to fetch in parts. */
  fetchedVersion: z.int().optional(),
  /** Whether the answer may hold only the changes since the list that this host has. */
  takesChanges: z.boolean().optional(),
  /** Last position in the changes to suspects; not sent by hosts of the previous version. */
  suspects: suspectCursor.optional(),
  /** Last position in the changes to rate limits; not sent by hosts of the previous version. */
  rateLimits: rateLimitCursor.optional(),
  /** Revision of the evacuated zones that the host has; not sent by hosts of the previous version. */
  evacuationRevision: z.int().optional(),
  /** Where the host relays connections to upstreams; not sent by hosts that don't. */
  relay: paths.relayCandidate.optional(),
  /** Stamp of the list of relays that the host has. */
  relayStamp: z.string().optional(),
});

/** Hosts that may relay connections to upstreams for the host that asked, and its place among all hosts. */
export const relayList = z.object({
  stamp: z.string(),
  relays: z.array(paths.relayCandidate),
  place: z.object({ index: z.int(), hosts: z.int() }).optional(),
});

/** The list of upstreams that the leader has read. */
export const upstreamList = z.object({
  stamp: z.string(),
  upstreams: z.array(schemas.listedUpstream),
});

/** Changes between two lists of upstreams. */
export const listChanges = z.object({
  /** Stamp of the list that the changes apply to. */
  from: z.string(),
  stamp: z.string(),
  /** Upstreams that were added or whose entry changed. */
  changed: z.array(schemas.listedUpstream),
  gone: z.array(z.string()),
});

/** Changes to the suspects, which are calls during which upstream processes ended, as the leader has them. */
export const suspectUpdates = z.object({
  term: z.int(),
  changes: z.object({
    revision: z.int(),
    isWhole: z.boolean(),
    suspects: z.array(routing.suspectFacts).readonly(),
    cleared: z.array(z.string()).readonly(),
  }),
});

/** What a core host knows about the rate limits of upstreams. */
export const rateLimitUpdates = z.object({
  source: z.string(),
  revision: z.int(),
  limits: z.array(requests.rateLimitFacts),
});

/** Rate limits that a host has learned. */
export const rateLimitReport = z.object({
  hostId: z.string(),
  limits: z.array(requests.rateLimitFacts),
});

/** Upstream processes that have stated to a host that they leave. */
export const leavingReport = z.object({ hostId: z.string(), processIds: z.array(z.string()) });

/** Request of a host to send one call to a limited upstream, with what it knows about the limit. */
export const rateGrantReq = z.object({ hostId: z.string(), limit: requests.rateLimitFacts });

/** Outcomes of suspects' runs, reported by one host. */
export const suspectReport = z.object({ hostId: z.string(), runs: z.array(routing.suspectRun) });

/** All suspects that a host has recorded. */
export const shareSuspectsReq = z.object({
  hostId: z.string(),
  suspects: z.array(routing.suspectFacts),
});

/** Term in which the leader has merged them. */
export const shareSuspectsRes = z.object({ term: z.int() });

/** Request for a permit to send a suspect to an upstream. */
export const suspectPermitReq = z.object({
  hostId: z.string(),
  digest: z.string(),
  processId: z.string(),
  /** Set if no other upstream is available for the call. */
  mayShare: z.boolean(),
  /** ID of the request, which a repeated request keeps; not sent by hosts of the previous version. */
  permitId: z.string().optional(),
  /** What the host has recorded about the call; a newly elected leader may not have received it yet. */
  facts: routing.suspectFacts.optional(),
});

/** Long poll for suspects relayed by a core host while there is no leader, with the position received last. */
export const relayedUpdatesReq = z.object({
  hostId: z.string(),
  /** Changes when the core host has discarded the suspects that it relayed before. */
  epoch: z.int(),
  revision: z.int(),
  waitMs: z.number(),
});

/** Suspects that entry hosts have reported to a core host; `undefined` while it has contact with a leader. */
export const relayedUpdatesRes = z.object({
  relayed: z
    .object({
      epoch: z.int(),
      changes: suspectUpdates.shape.changes,
    })
    .optional(),
});

/** Answer to an entry host's poll; holds only what the host lacks. */
export const updatesRes = z.object({
  document: intents.declaredDocument.optional(),
  /** The first part of a document. */
  documentPart: documentPart.optional(),
  list: upstreamList.optional(),
  /** The list of upstreams, packed once for all hosts. */
  packedList: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
  /** The packed changes since the list that the host has. */
  packedChanges: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
  /** Time since the list was read, in milliseconds; `undefined` on hosts that don't lead, and before the first read. */
  listAgeMs: z.number().optional(),
  /** Interval between reads of the list, in milliseconds; a long list is read less often. */
  listPeriodMs: z.number().optional(),
  /** Whether this core host's state is the newest, as confirmed by a recent heartbeat of the leader. */
  isCurrent: z.boolean(),
  leader: z.string().optional(),
  cores: z.array(z.string()),
  /** Number of entry hosts that poll the leader. */
  entryHosts: z.int().optional(),
  suspects: suspectUpdates.optional(),
  rateLimits: rateLimitUpdates.optional(),
  evacuations: intents.evacuatedZones.optional(),
  relays: relayList.optional(),
  /**
   * The quarantine from the log, for a host that has had no contact with a leader yet and polls a core host that doesn't
   * lead.
   */
  quarantined: z.array(routing.suspectFacts).readonly().optional(),
});

/** Request to place a generation, or to register one that runs already. */
export const placeReq = z.object({
  service: z.string(),
  need: z.object({
    callId: z.string(),
    availabilityZone: z.string(),
    promptTokens: z.number(),
    answerTokens: z.number(),
    leftMs: z.number(),
    excluded: z.array(z.string()).readonly(),
    fixedEngineId: z.string().optional(),
    isUnderWay: z.boolean().optional(),
    wantsCopy: z.boolean(),
    ranMs: z.number(),
    /** Target for the gaps between its events, in milliseconds; not sent by hosts of the previous version. */
    gapTargetMs: z.number().optional(),
  }),
  /** Time for which it may wait for capacity, in milliseconds. */
  patienceMs: z.number(),
  /** Time until its first event is due, in milliseconds; negative if overdue. */
  dueInMs: z.number(),
  /** Priority; 0 is served first. */
  rank: z.int(),
  /** The team of its caller; absent for calls without a team, and from hosts of the previous version. */
  team: z.string().optional(),
});

/** Event of a generation: its first event was sent to the caller, or it gives up its turn to migrate. */
export const generationEvent = z.object({
  service: z.string(),
  callId: z.string(),
  event: z.enum(['begun', 'turn-over']),
});

/** Pace of a stream on one engine, as measured by its entry host. */
export const paceReport = z.object({
  service: z.string(),
  callId: z.string(),
  engineId: z.string(),
  /** Mean time between two events so far, in milliseconds. */
  msPerEvent: z.number().min(0),
  /** Number of events so far. */
  events: z.int().min(0),
  /** Longest time between two events so far, in milliseconds. */
  longestGapMs: z.number().min(0),
});

/** Long poll by which a running generation is offered for migration to another engine. */
export const migrationReq = z.object({
  service: z.string(),
  callId: z.string(),
  engineId: z.string(),
  /** Engines that had no capacity for it. */
  excluded: z.array(z.string()).readonly(),
  /** Time for which the poll stays open, in milliseconds. */
  patienceMs: z.number(),
});

/** Target engine of the migration; `undefined` while its engine stays or other generations have their turn. */
export const migrationRes = z.object({ takerId: z.string().optional() });

/** Request of a host that has used up its own retries for one more. */
export const retryGrantReq = z.object({ service: z.string() });

/** Whether the retry is granted. */
export const retryGrantRes = z.object({ isLent: z.boolean() });

/** Placement of a generation, or the load of its pool if it was not placed. */
export const placeRes = z.object({
  placed: z
    .object({ engineId: z.string(), copyAt: z.string().optional(), share: z.number() })
    .optional(),
  waitedMs: z.number(),
  /** Set if the leader can't decide: it has not read the list of upstreams, or lacks the service. */
  isUnknown: z.boolean().optional(),
  /** Number of running generations and the forecast share of all memory in use, for the log of a refusal. */
  full: z
    .object({
      running: z.int(),
      share: z.number(),
      /** When its caller may return, in milliseconds; not sent where capacity is not shared among teams. */
      retryAfterMs: z.number().optional(),
    })
    .optional(),
});

/** Report that a generation no longer runs. */
export const releaseReq = z.object({
  service: z.string(),
  callId: z.string(),
  hasFailed: z.boolean(),
  /** The host, and whether an answer began, if that shows anything; not sent by hosts of the previous version. */
  hostId: z.string().optional(),
  hasAnswered: z.boolean().optional(),
});

/** Request for a part of a document. */
export type DocumentPartReq = z.infer<typeof documentPartReq>;
/** Part of a compressed document. */
export type DocumentPart = z.infer<typeof documentPart>;
/** Answer to a request for a part. */
export type DocumentPartRes = z.infer<typeof documentPartRes>;
/** Request to place or register a generation. */
export type PlaceReq = z.infer<typeof placeReq>;
/** Hosts that may relay connections to upstreams for one host. */
export type RelayList = z.infer<typeof relayList>;
/** Position in the leader's changes to suspects. */
export type SuspectCursor = z.infer<typeof suspectCursor>;
/** Position in a core host's changes to rate limits. */
export type RateLimitCursor = z.infer<typeof rateLimitCursor>;
/** Changes to suspects, as the leader has them. */
export type SuspectUpdates = z.infer<typeof suspectUpdates>;
/** What a core host knows about the rate limits of upstreams. */
export type RateLimitUpdates = z.infer<typeof rateLimitUpdates>;
/** Rate limits that a host has learned. */
export type RateLimitReport = z.infer<typeof rateLimitReport>;
/** Upstream processes that have stated to a host that they leave. */
export type LeavingReport = z.infer<typeof leavingReport>;
/** Request to send one call to a limited upstream. */
export type RateGrantReq = z.infer<typeof rateGrantReq>;
/** Outcomes of suspects' runs, reported by one host. */
export type SuspectReport = z.infer<typeof suspectReport>;
/** All suspects that a host has recorded. */
export type ShareSuspectsReq = z.infer<typeof shareSuspectsReq>;
/** Term in which the leader has merged them. */
export type ShareSuspectsRes = z.infer<typeof shareSuspectsRes>;
/** Request for a permit to send a suspect. */
export type SuspectPermitReq = z.infer<typeof suspectPermitReq>;
/** Long poll for relayed suspects while there is no leader. */
export type RelayedUpdatesReq = z.infer<typeof relayedUpdatesReq>;
/** Relayed suspects. */
export type RelayedUpdatesRes = z.infer<typeof relayedUpdatesRes>;
/** Request for one more retry. */
export type RetryGrantReq = z.infer<typeof retryGrantReq>;
/** Whether the retry is granted. */
export type RetryGrantRes = z.infer<typeof retryGrantRes>;
/** Event of a generation. */
export type GenerationEvent = z.infer<typeof generationEvent>;
/** Pace of a stream on one engine. */
export type PaceReport = z.infer<typeof paceReport>;
/** Long poll that offers a running generation for migration. */
export type MigrationReq = z.infer<typeof migrationReq>;
/** The generation that is offered, without the service and the time to wait. */
export type MigrationOffer = Omit<MigrationReq, 'service' | 'patienceMs'>;
/** Target engine of a migration. */
export type MigrationRes = z.infer<typeof migrationRes>;
/** Placement of a generation. */
export type PlaceRes = z.infer<typeof placeRes>;
/** Report that a generation no longer runs. */
export type ReleaseReq = z.infer<typeof releaseReq>;
/** Announcement of a core host. */
export type HelloReq = z.infer<typeof helloReq>;
/** Answer to an announcement. */
export type HelloRes = z.infer<typeof helloRes>;
/** Long poll of an entry host. */
export type UpdatesReq = z.infer<typeof updatesReq>;
/** The list of upstreams that the leader has read. */
export type UpstreamList = z.infer<typeof upstreamList>;
/** Changes between two lists of upstreams. */
export type ListChanges = z.infer<typeof listChanges>;
/** Answer to an entry host's poll. */
export type UpdatesRes = z.infer<typeof updatesRes>;

/** Packs the list, once for all hosts. */
export function packList(list: UpstreamList): Uint8Array {
  return peers.packValue(list);
}

/** Packs changes of the list, once for all hosts. */
export function packListChanges(changes: ListChanges): Uint8Array {
  return peers.packValue(changes);
}

/** Unpacks the list changes of an answer; `undefined` if it has none. */
export function findListChanges({ packedChanges }: UpdatesRes): ListChanges | undefined {
  return packedChanges && (peers.unpackValue(packedChanges) as ListChanges);
}

/** Returns the list of an answer, packed or not; `undefined` if it has none. */
export function findList({ list, packedList }: UpdatesRes): UpstreamList | undefined {
  return packedList === undefined ? list : (peers.unpackValue(packedList) as UpstreamList);
}

/** Handlers of the procedures that a core host offers to peers and entry hosts. */
export interface CoreHandlers {
  genesis(): Promise<consensus.Genesis>;
  /** Answers a proposal for the initial voters, as a founder. */
  found(req: consensus.FoundingReq): Promise<consensus.FoundingRes>;
  vote(req: consensus.VoteReq): Promise<consensus.VoteRes>;
  append(req: consensus.AppendReq): Promise<consensus.AppendRes>;
  snapshot(req: consensus.SnapshotReq): Promise<consensus.AppendRes>;
  hello(req: HelloReq): Promise<HelloRes>;
  news(req: UpdatesReq): Promise<UpdatesRes>;
  /** Returns a part of a document. */
  documentPart(req: DocumentPartReq): Promise<DocumentPartRes>;
  /** Proposes a document, as the leader. */
  declare(document: intents.DeclaredDocument): Promise<intents.DeclareResult>;
  /** Places a generation, as the leader. */
  place(req: PlaceReq): Promise<PlaceRes>;
  /** Waits until a generation is to migrate and returns its target engine, as the leader. */
  awaitHandOver(req: MigrationReq): Promise<MigrationRes>;
  release(req: ReleaseReq): Promise<void>;
  /** Records an event of a generation that runs at an entry host. */
  noteRun(note: GenerationEvent): Promise<void>;
  /** Records the pace of a stream that runs at an entry host. */
  reportPace(report: PaceReport): Promise<void>;
  /** Grants a retry, as the leader. */
  borrowRetry(req: RetryGrantReq): Promise<RetryGrantRes>;
  /** Waits for a slot at an upstream of a plain service, as the leader. */
  requestSlot(req: slotMessages.SlotReq): Promise<slotMessages.SlotRes>;
  /** Frees a slot, as the leader. */
  releaseSlot(req: slotMessages.SlotRelease): Promise<void>;
  /** Registers the calls of a host that hold slots, as a leader that is new to the host. */
  reportSlots(req: slotMessages.SlotReport): Promise<void>;
  /** Grants or refuses a send to a limited upstream, as the leader. */
  grantSend(req: RateGrantReq): Promise<requests.RateGrantAnswer>;
  /** Records rate limits; any core host tells those that poll it. */
  reportLimits(req: RateLimitReport): Promise<void>;
  /** Records upstream processes that leave, as the leader. */
  reportLeaving(req: LeavingReport): Promise<void>;
  /** Records outcomes of suspects' runs, as the leader. */
  reportSuspects(req: SuspectReport): Promise<{ readonly term: number }>;
  /** Merges all suspects of a host, as a leader that is new to the host. */
  shareSuspects(req: ShareSuspectsReq): Promise<ShareSuspectsRes>;
  /** Decides whether a suspect may be sent, as the leader. */
  permitSuspect(req: SuspectPermitReq): Promise<routing.Permit>;
  /** Forwards outcomes of suspects' runs to the leader or else keeps them; returns whether the leader has them. */
  relaySuspects(req: SuspectReport): Promise<{ readonly isTaken: boolean }>;
  /** Decides whether a suspect may be sent, for a host without contact with the leader. */
  relayPermit(req: SuspectPermitReq): Promise<routing.Permit>;
  /** Waits for suspects reported by other hosts while there is no leader. */
  awaitRelayed(req: RelayedUpdatesReq): Promise<RelayedUpdatesRes>;
  /** Returns the newest document, as the leader. */
  read(): Promise<intents.DeclaredDocument | null>;
  /** Proposes the evacuation of an availability zone or its end, as the leader. */
  evacuate(entry: intents.EvacuationEntry): Promise<intents.EvacuationResult>;
  /** Returns the evacuated availability zones, as the leader. */
  readEvacuations(): Promise<intents.EvacuatedZones>;
}

const t = trpc.initTRPC.create();

/** Creates the router with a core host's procedures; the client sets a deadline on each request. */
export function createCoreRouter(handlers: CoreHandlers) {
  return t.router({
    genesis: t.procedure.mutation(() => handlers.genesis()),
    found: t.procedure.input(consensus.foundingReq).mutation(({ input }) => handlers.found(input)),
    vote: t.procedure.input(consensus.voteReq).mutation(({ input }) => handlers.vote(input)),
    append: t.procedure.input(consensus.appendReq).mutation(({ input }) => handlers.append(input)),
    snapshot: t.procedure
      .input(consensus.snapshotReq)
      .mutation(({ input }) => handlers.snapshot(input)),
    hello: t.procedure.input(helloReq).mutation(({ input }) => handlers.hello(input)),
    news: t.procedure.input(updatesReq).mutation(({ input }) => handlers.news(input)),
    documentPart: t.procedure
      .input(documentPartReq)
      .mutation(({ input }) => handlers.documentPart(input)),
    declare: t.procedure
      .input(intents.declaredDocument)
      .mutation(({ input }) => handlers.declare(input)),
    place: t.procedure.input(placeReq).mutation(({ input }) => handlers.place(input)),
    awaitHandOver: t.procedure
      .input(migrationReq)
      .mutation(({ input }) => handlers.awaitHandOver(input)),
    release: t.procedure.input(releaseReq).mutation(({ input }) => handlers.release(input)),
    noteRun: t.procedure.input(generationEvent).mutation(({ input }) => handlers.noteRun(input)),
    reportPace: t.procedure.input(paceReport).mutation(({ input }) => handlers.reportPace(input)),
    borrowRetry: t.procedure
      .input(retryGrantReq)
      .mutation(({ input }) => handlers.borrowRetry(input)),
    requestSlot: t.procedure
      .input(slotMessages.slotReq)
      .mutation(({ input }) => handlers.requestSlot(input)),
    releaseSlot: t.procedure
      .input(slotMessages.slotRelease)
      .mutation(({ input }) => handlers.releaseSlot(input)),
    reportSlots: t.procedure
      .input(slotMessages.slotReport)
      .mutation(({ input }) => handlers.reportSlots(input)),
    grantSend: t.procedure.input(rateGrantReq).mutation(({ input }) => handlers.grantSend(input)),
    reportLimits: t.procedure
      .input(rateLimitReport)
      .mutation(({ input }) => handlers.reportLimits(input)),
    reportLeaving: t.procedure
      .input(leavingReport)
      .mutation(({ input }) => handlers.reportLeaving(input)),
    reportSuspects: t.procedure
      .input(suspectReport)
      .mutation(({ input }) => handlers.reportSuspects(input)),
    shareSuspects: t.procedure
      .input(shareSuspectsReq)
      .mutation(({ input }) => handlers.shareSuspects(input)),
    permitSuspect: t.procedure
      .input(suspectPermitReq)
      .mutation(({ input }) => handlers.permitSuspect(input)),
    relaySuspects: t.procedure
      .input(suspectReport)
      .mutation(({ input }) => handlers.relaySuspects(input)),
    relayPermit: t.procedure
      .input(suspectPermitReq)
      .mutation(({ input }) => handlers.relayPermit(input)),
    awaitRelayed: t.procedure
      .input(relayedUpdatesReq)
      .mutation(({ input }) => handlers.awaitRelayed(input)),
    read: t.procedure.mutation(() => handlers.read()),
    evacuate: t.procedure
      .input(intents.evacuationEntry)
      .mutation(({ input }) => handlers.evacuate(input)),
    readEvacuations: t.procedure.mutation(() => handlers.readEvacuations()),
  });
}

/** Type of the router, for typed clients. */
export type CoreRouter = ReturnType<typeof createCoreRouter>;
