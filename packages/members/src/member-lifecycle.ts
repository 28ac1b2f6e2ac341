import * as schemas from '@bramleyridge/schemas';

/** Events of a member, as observed by its zone's relay: heartbeat received, heartbeats missed, leaving, dropped. */
export type MemberEvent = 'hear' | 'miss' | 'leave' | 'drop';

const TRANSITIONS: schemas.Transitions<schemas.MemberState, MemberEvent> = {
  live: { hear: 'live', miss: 'suspect', leave: 'leaving' },
  suspect: { hear: 'live', leave: 'leaving', drop: 'gone' },
  // A host that has announced its shutdown stays `leaving`, even if a delayed heartbeat reports otherwise.
  leaving: { leave: 'leaving', hear: 'leaving', miss: 'leaving', drop: 'gone' },
  gone: {},
};

/** The lifecycle of one incarnation of a member. */
export function createMemberLifecycle(): schemas.Lifecycle<schemas.MemberState, MemberEvent> {
  return new schemas.Lifecycle(TRANSITIONS, 'live');
}
