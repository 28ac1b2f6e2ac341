import * as schemas from '@bramleyridge/schemas';

/** What happens to a member in the eyes of its zone. */
export type MemberEvent = 'hear' | 'miss' | 'leave' | 'drop';

const MOVES: schemas.Moves<schemas.MemberState, MemberEvent> = {
  live: { hear: 'live', miss: 'suspect', leave: 'leaving' },
  suspect: { hear: 'live', leave: 'leaving', drop: 'gone' },
  // A daemon that said that it leaves gets no new role, whatever late heartbeats still say.
  leaving: { leave: 'leaving', hear: 'leaving', miss: 'leaving', drop: 'gone' },
  gone: {},
};

/** The life of one incarnation of a member. */
export function createMemberLifecycle(): schemas.Lifecycle<schemas.MemberState, MemberEvent> {
  return new schemas.Lifecycle(MOVES, 'live');
}
