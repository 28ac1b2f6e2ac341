import * as consensus from '@bramleyridge/consensus';
import * as intents from '@bramleyridge/intents';
import * as peers from '@bramleyridge/peers';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as z from 'zod';

/** What a core host says of itself to the others, and whom it knows. */
export const helloReq = z.object({
  coreId: z.string(),
  /** The number of its data folder. */
  voterId: z.string(),
  availabilityZone: z.string().optional(),
  /** Set when it is about to stop and wants to give its seat away. */
  isLeaving: z.boolean().optional(),
  known: z.array(z.string()),
});

/** What a core host answers another. */
export const helloRes = z.object({ known: z.array(z.string()), leader: z.string().optional() });

/** What a host has learned of suspects: of which leader, and up to which change. */
export const suspectCursor = z.object({ term: z.int(), revision: z.int() });

/** An entry host's open question: what is newer than this? */
export const updatesReq = z.object({
  hostId: z.string(),
  version: z.int(),
  /** Changes with the content of the list of upstreams. */
  listStamp: z.string(),
  waitMs: z.number(),
  /** Whether the list may come packed; hosts of the version before take it as it is. */
  takesPacked: z.boolean().optional(),
  /** Whether it may be told only what has changed in the list since the one that it has. */
  takesChanges: z.boolean().optional(),
  /** Not sent by hosts of the version before. */
  suspects: suspectCursor.optional(),
  /** Of the evacuated zones that the host knows of; not sent by hosts of the version before. */
  evacuationRevision: z.int().optional(),
});

/** The list of upstreams as the leader read it. */
export const upstreamList = z.object({
  stamp: z.string(),
  upstreams: z.array(schemas.listedUpstream),
});

/** What has changed between two lists. */
export const listChanges = z.object({
  /** The list that they apply to. */
  from: z.string(),
  stamp: z.string(),
  /** Upstreams that are new or listed otherwise. */
  changed: z.array(schemas.listedUpstream),
  gone: z.array(z.string()),
});

/** What a leader tells of calls under which upstreams ended. */
export const suspectUpdates = z.object({
  term: z.int(),
  changes: z.object({
    revision: z.int(),
    isWhole: z.boolean(),
    suspects: z.array(routing.suspectFacts).readonly(),
    cleared: z.array(z.string()).readonly(),
  }),
});

/** What a run of a suspect, or of one that becomes so, has shown. */
export const suspectOutcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ended'), digest: z.string(), end: routing.processEnd }),
  z.object({ kind: z.literal('served'), digest: z.string() }),
  z.object({ kind: z.literal('over'), digest: z.string(), processId: z.string() }),
]);

/** What runs at a host have shown. */
export const suspectReport = z.object({ hostId: z.string(), runs: z.array(suspectOutcome) });

/** All that a host knows of suspects. */
export const shareSuspectsReq = z.object({
  hostId: z.string(),
  suspects: z.array(routing.suspectFacts),
});

/** In which term the leader has taken it. */
export const shareSuspectsRes = z.object({ term: z.int() });

/** A host wants to send a suspect to an upstream. */
export const suspectPermitReq = z.object({
  hostId: z.string(),
  digest: z.string(),
  processId: z.string(),
  /** Set where there is no other upstream for it. */
  mayShare: z.boolean(),
  /** The question's id, the same when it is asked again; not sent by hosts of the version before. */
  permitId: z.string().optional(),
  /** What the host knows of the call: a leader that has just risen may not have been told yet. */
  facts: routing.suspectFacts.optional(),
});

/** Which core host's word on suspects a host has while nobody leads, and up to which change. */
export const relayedUpdatesReq = z.object({
  hostId: z.string(),
  /** Changes when the core host has forgotten what it was told before. */
  epoch: z.int(),
  revision: z.int(),
  waitMs: z.number(),
});

/** What other hosts have told a core host of suspects; nothing while it hears a leader. */
export const relayedUpdatesRes = z.object({
  relayed: z
    .object({
      epoch: z.int(),
      changes: suspectUpdates.shape.changes,
    })
    .optional(),
});

/** What an entry host is told: only what it lacks. */
export const updatesRes = z.object({
  document: intents.declaredDocument.optional(),
  list: upstreamList.optional(),
  /** The list, packed once for all hosts. */
  packedList: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
  /** What has changed in the list since the one that the host has, packed. */
  packedChanges: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
  /** How long ago the list was read, in milliseconds; nothing where it is not read. */
  listAgeMs: z.number().optional(),
  /** The pause between two readings of the list, in milliseconds; a long list is read less often. */
  listPeriodMs: z.number().optional(),
  /** Whether what this core host has is the newest, as far as a leader's heartbeat vouches for it. */
  isCurrent: z.boolean(),
  leader: z.string().optional(),
  cores: z.array(z.string()),
  /** How many entry hosts the leader hears. */
  entryHosts: z.int().optional(),
  suspects: suspectUpdates.optional(),
  evacuations: intents.evacuatedZones.optional(),
  /** For a host that has just started and hears a core host that does not lead: what is quarantined for certain. */
  quarantined: z.array(routing.suspectFacts).readonly().optional(),
});

/** A generation that is to be placed, or that runs already and is only entered. */
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
  }),
  /** How long it may wait for room, in milliseconds. */
  patienceMs: z.number(),
  /** In how many milliseconds its first event is due; negative when that is over. */
  dueInMs: z.number(),
  /** Its rank; 0 goes first. */
  rank: z.int(),
});

/** What became of a generation: its first event was seen, or it does not use its turn to be handed over. */
export const generationEvent = z.object({
  service: z.string(),
  callId: z.string(),
  event: z.enum(['begun', 'turn-over']),
});

/** A generation that runs and can be handed over to another engine. */
export const migrationReq = z.object({
  service: z.string(),
  callId: z.string(),
  engineId: z.string(),
  /** Engines that had no room for it. */
  excluded: z.array(z.string()).readonly(),
  /** How long the question stays open, in milliseconds. */
  patienceMs: z.number(),
});

/** Which engine takes it over now; nothing while its engine stays or others have their turn. */
export const migrationRes = z.object({ takerId: z.string().optional() });

/** A host that has used its own retries up asks for one more. */
export const retryGrantReq = z.object({ service: z.string() });

/** Whether it may. */
export const retryGrantRes = z.object({ isLent: z.boolean() });

/** Where a generation was placed, or how full its pool is when it was not. */
export const placeRes = z.object({
  placed: z
    .object({ engineId: z.string(), copyAt: z.string().optional(), share: z.number() })
    .optional(),
  waitedMs: z.number(),
  /** Whether the leader cannot tell: it has not read the list of upstreams, or lacks the service. */
  isUnknown: z.boolean().optional(),
  /** Generations under way and the forecast share of all memory, for the log of a refusal. */
  full: z.object({ running: z.int(), share: z.number() }).optional(),
});

/** A generation that runs no longer. */
export const releaseReq = z.object({
  service: z.string(),
  callId: z.string(),
  hasFailed: z.boolean(),
});

/** A generation that is to be placed. */
export type PlaceReq = z.infer<typeof placeReq>;
/** What a host has learned of suspects. */
export type SuspectCursor = z.infer<typeof suspectCursor>;
/** What a leader tells of suspects. */
export type SuspectUpdates = z.infer<typeof suspectUpdates>;
/** What a run of a suspect has shown. */
export type SuspectOutcome = z.infer<typeof suspectOutcome>;
/** What runs at a host have shown. */
export type SuspectReport = z.infer<typeof suspectReport>;
/** All that a host knows of suspects. */
export type ShareSuspectsReq = z.infer<typeof shareSuspectsReq>;
/** In which term the leader has taken it. */
export type ShareSuspectsRes = z.infer<typeof shareSuspectsRes>;
/** A host wants to send a suspect to an upstream. */
export type SuspectPermitReq = z.infer<typeof suspectPermitReq>;
/** A host's open question for what others have told of suspects while nobody leads. */
export type RelayedUpdatesReq = z.infer<typeof relayedUpdatesReq>;
/** What others have told of suspects. */
export type RelayedUpdatesRes = z.infer<typeof relayedUpdatesRes>;
/** A host that needs one retry more. */
export type RetryGrantReq = z.infer<typeof retryGrantReq>;
/** Whether it may. */
export type RetryGrantRes = z.infer<typeof retryGrantRes>;
/** What became of a generation. */
export type GenerationEvent = z.infer<typeof generationEvent>;
/** A generation that can be handed over. */
export type MigrationReq = z.infer<typeof migrationReq>;
/** What tells it from others of its service. */
export type MigrationOffer = Omit<MigrationReq, 'service' | 'patienceMs'>;
/** Which engine takes it over. */
export type MigrationRes = z.infer<typeof migrationRes>;
/** Where a generation was placed. */
export type PlaceRes = z.infer<typeof placeRes>;
/** A generation that runs no longer. */
export type ReleaseReq = z.infer<typeof releaseReq>;
/** What a core host says of itself to the others. */
export type HelloReq = z.infer<typeof helloReq>;
/** What a core host answers another. */
export type HelloRes = z.infer<typeof helloRes>;
/** An entry host's open question. */
export type UpdatesReq = z.infer<typeof updatesReq>;
/** The list of upstreams as the leader read it. */
export type UpstreamList = z.infer<typeof upstreamList>;
/** What has changed between two lists. */
export type ListChanges = z.infer<typeof listChanges>;
/** What an entry host is told. */
export type UpdatesRes = z.infer<typeof updatesRes>;

/** Packs the list for the hosts that are told. */
export function packList(list: UpstreamList): Uint8Array {
  return peers.packValue(list);
}

/** Packs what has changed in the list for the hosts that are told. */
export function packListChanges(changes: ListChanges): Uint8Array {
  return peers.packValue(changes);
}

/** The changes of the list that an answer brings. */
export function findListChanges({ packedChanges }: UpdatesRes): ListChanges | undefined {
  return packedChanges && (peers.unpackValue(packedChanges) as ListChanges);
}

/** The list that an answer brings, packed or as it is; nothing when there is no other one. */
export function findList({ list, packedList }: UpdatesRes): UpstreamList | undefined {
  return packedList === undefined ? list : (peers.unpackValue(packedList) as UpstreamList);
}

/** What a core host does for its peers and for entry hosts. */
export interface CoreHandlers {
  genesis(): Promise<consensus.Genesis>;
  vote(req: consensus.VoteReq): Promise<consensus.VoteRes>;
  append(req: consensus.AppendReq): Promise<consensus.AppendRes>;
  snapshot(req: consensus.SnapshotReq): Promise<consensus.AppendRes>;
  hello(req: HelloReq): Promise<HelloRes>;
  news(req: UpdatesReq): Promise<UpdatesRes>;
  /** Takes a document as the leader. */
  declare(document: intents.DeclaredDocument): Promise<intents.DeclareResult>;
  /** Places a generation, as the leader. */
  place(req: PlaceReq): Promise<PlaceRes>;
  /** Says when a generation is to be handed over, and where to, as the leader. */
  awaitHandOver(req: MigrationReq): Promise<MigrationRes>;
  release(req: ReleaseReq): Promise<void>;
  /** Notes what became of a generation. */
  noteRun(note: GenerationEvent): Promise<void>;
  /** Lends a retry, as the leader. */
  borrowRetry(req: RetryGrantReq): Promise<RetryGrantRes>;
  /** Takes what runs have shown of suspects, as the leader. */
  reportSuspects(req: SuspectReport): Promise<{ readonly term: number }>;
  /** Takes all that a host knows of suspects, as a leader that the host has just heard of. */
  shareSuspects(req: ShareSuspectsReq): Promise<ShareSuspectsRes>;
  /** Says whether a suspect may be sent, as the leader. */
  permitSuspect(req: SuspectPermitReq): Promise<routing.Permit>;
  /** Takes what runs have shown of suspects for the hosts that hear no leader; whether the leader has it. */
  relaySuspects(req: SuspectReport): Promise<{ readonly isTaken: boolean }>;
  /** Says whether a suspect may be sent, to a host that hears no leader. */
  relayPermit(req: SuspectPermitReq): Promise<routing.Permit>;
  /** Tells what others have told of suspects while nobody leads. */
  awaitRelayed(req: RelayedUpdatesReq): Promise<RelayedUpdatesRes>;
  /** The newest document, as the leader. */
  read(): Promise<intents.DeclaredDocument | null>;
  /** Takes an order on an availability zone, as the leader. */
  evacuate(entry: intents.EvacuationEntry): Promise<intents.EvacuationResult>;
  /** Which availability zones are evacuated, as the leader. */
  readEvacuations(): Promise<intents.EvacuatedZones>;
}

const t = trpc.initTRPC.create();

/** The procedures of a core host; every one has a deadline on the asking side. */
export function createCoreRouter(handlers: CoreHandlers) {
  return t.router({
    genesis: t.procedure.mutation(() => handlers.genesis()),
    vote: t.procedure.input(consensus.voteReq).mutation(({ input }) => handlers.vote(input)),
    append: t.procedure.input(consensus.appendReq).mutation(({ input }) => handlers.append(input)),
    snapshot: t.procedure
      .input(consensus.snapshotReq)
      .mutation(({ input }) => handlers.snapshot(input)),
    hello: t.procedure.input(helloReq).mutation(({ input }) => handlers.hello(input)),
    news: t.procedure.input(updatesReq).mutation(({ input }) => handlers.news(input)),
    declare: t.procedure
      .input(intents.declaredDocument)
      .mutation(({ input }) => handlers.declare(input)),
    place: t.procedure.input(placeReq).mutation(({ input }) => handlers.place(input)),
    awaitHandOver: t.procedure
      .input(migrationReq)
      .mutation(({ input }) => handlers.awaitHandOver(input)),
    release: t.procedure.input(releaseReq).mutation(({ input }) => handlers.release(input)),
    noteRun: t.procedure.input(generationEvent).mutation(({ input }) => handlers.noteRun(input)),
    borrowRetry: t.procedure
      .input(retryGrantReq)
      .mutation(({ input }) => handlers.borrowRetry(input)),
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

/** The type of the router, for typed clients. */
export type CoreRouter = ReturnType<typeof createCoreRouter>;
