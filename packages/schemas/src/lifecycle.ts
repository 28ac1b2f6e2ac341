import * as robot from 'robot3';

import * as stepError from './step-error.js';

/** For each state, where each event leads. */
export type Moves<S extends string, E extends string> = Readonly<
  Record<S, Readonly<Partial<Record<E, S>>>>
>;

/** The legal moves of one life, held by robot3; a move that the table lacks is an error. */
export class Lifecycle<S extends string, E extends string> {
  private readonly service: robot.Service<robot.Machine>;

  public constructor(
    private readonly moves: Moves<S, E>,
    initial: S,
  ) {
    const states = Object.fromEntries(
      Object.entries<Readonly<Partial<Record<E, S>>>>(moves).map(([from, events]) => {
        const transitions = Object.entries(events).map(([event, to]) =>
          robot.transition(event, to as string),
        );
        return [from, robot.state(...transitions)];
      }),
    );
    const machine = robot.createMachine(initial, states as never) as unknown as robot.Machine;
    this.service = robot.interpret(machine, () => {});
  }

  /** The present state. */
  public get state(): S {
    return this.service.machine.current as S;
  }

  /** Whether an event is legal now. */
  public can(event: E): boolean {
    return this.moves[this.state][event] !== undefined;
  }

  /** Moves on, or throws when the event is not legal now. */
  public move(event: E): S {
    if (!this.can(event)) {
      throw new stepError.StepError({ id: 'illegalMove', step: event, args: [this.state, event] });
    }
    this.service.send(event as never);
    return this.state;
  }
}
