/** Message texts for callers, operators and logs, by id; each `%s` is replaced by the next argument. */
export const messages = {
  badBody: 'the body is not valid: %s',
  badConfig: 'the settings are not valid: %s',
  badHead: 'the head lacks %s, or has it in a form that cannot be read',
  bodyTooLarge: 'the body is larger than %s bytes',
  bodyTooSlow: 'the body did not arrive within %s ms',
  chainBroken:
    'the log %s is damaged at byte %s, before its end; restore the data folder or remove this voter and add it anew',
  claimLost:
    'the claim for this key could not be settled by a majority; whether the call ran is not known',
  claimRefused: 'the claim for this key could not be made by a majority; the call did not run',
  conflict: 'the plan %s was made on revision %s, but revision %s is in force: %s',
  deadline: 'no answer within %s ms',
  draining: 'this daemon is stopping; ask another',
  documentsHeld: 'this host receives documents of more than %s bytes already; send it again later',
  documentTooLarge: 'the document has %s bytes; the limit is %s',
  entryTooLarge: 'a command of %s bytes is over the limit of %s of the replicated log',
  fileNotReplaced: 'the file %s could not be replaced and is unchanged',
  frameTooLarge: 'a frame of %s bytes is over the limit of %s',
  generationGone: 'the generation is gone at the upstream; %s tokens were delivered',
  generationOfAnother: 'no generation of this team has this identifier',
  headersTooLarge: 'the headers are larger than %s bytes',
  hostFull: 'this host holds too many bytes for slow callers; the call did not run',
  illegalMove: 'a %s cannot %s',
  keyReused: 'this Idempotency-Key was used with another request',
  keysFull:
    'no more keys of team %s can be remembered, which has %s calls with one; the call did not run',
  linkClosed: 'the link to the peer is closed',
  listRefused: 'the list of upstreams was refused with status %s',
  listTooLong: 'the list of upstreams has more than %s pages',
  listUnreadable: 'none of the %s entries of the list of upstreams can be used; the first: %s',
  logFull:
    'the replicated log waits for a majority of its voters to store %s bytes; send the command again later',
  noModel: 'no intent serves model %s for team %s in availability zone %s',
  noPlan: 'there is no plan %s',
  noRoute: 'there is nothing at %s %s',
  noRoom: 'no upstream had room within the time allowed in the queue',
  noService: 'no service %s is declared for availability zone %s',
  noUpstream: 'no live upstream serves %s in availability zone %s',
  noZone: 'there is no availability zone %s; there are %s',
  notLeader: 'this voter is not the leader',
  notPermitted: 'team %s is not permitted in availability zone %s',
  notReady: 'this daemon has not yet learned the configuration in force',
  operatorToken: 'a valid operator token is needed',
  orderRefused: 'the engine refused the order with status %s',
  orderOvertaken: 'other orders on availability zones came in between; send it again',
  peerBusy: 'the peer has %s calls already that it has not answered; the call did not run',
  planExpired: 'the plan %s is %s and cannot be confirmed',
  queueFull: 'the queue of team %s is full: %s requests wait',
  tooMany: 'team %s already has %s requests running, its limit',
  teamUnsendable:
    'the name of team %s has characters that no header can carry to an upstream; its calls run once it is renamed',
  teamKey: 'the key of a team is needed',
  teamToken: 'a valid team token is needed as bearer token',
  partQuarantined:
    'upstreams ended each time they began an answer on a part of this prompt; the call was not sent',
  quarantined: 'upstreams ended each time they began to run this call; it was not sent to another',
  ranUnknown: 'the upstream was lost after the call was handed to it; whether it ran is not known',
  rateLimited:
    'every upstream of %s that could take the call has reached the rate limit that it set; it did not run',
  resting:
    'every upstream of %s that could take the call has turned calls away and asked for rest; it did not run',
  timeOver:
    'the answer was not complete within the time allowed; whether the call ran is not known',
  timeOverNotRun: 'no upstream could take the call within the time allowed; it did not run',
  callUnsendable: 'the call cannot be written as an HTTP request; it was not sent',
  upstreamRefused: 'the upstream refused the call as not run',
  upstreamWithheld: 'the upstream takes no more calls at the moment; the call was not sent',
  upstreamUnreachable: 'the upstream could not be reached; the call did not run',
} as const;

/** Id of a message. */
export type MessageId = keyof typeof messages;
