import * as robot from 'robot3';

import * as stepError from './step-error.js';

/** Transition table: for each state, the next state by event. */
export type Transitions<S extends string, E extends string> = Readonly<
  Record<S, Readonly<Partial<Record<E, S>>>>
>;

/** A state machine, implemented by robot3. An event that the transition table does not allow is an error. */
export class Lifecycle<S extends string, E extends string> {
  private readonly service: robot.Service<robot.Machine>;

  public constructor(
    private readonly moves: Transitions<S, E>,
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

  /** The current state. */
  public get state(): S {
    return this.service.machine.current as S;
  }

  /** Returns whether an event is allowed in the current state. */
  public can(event: E): boolean {
    return this.moves[this.state][event] !== undefined;
  }

  /** Applies an event and returns the new state; throws if the event is not allowed in the current state. */
  public move(event: E): S {
    if (!this.can(event)) {
      throw new stepError.StepError({ id: 'illegalMove', step: event, args: [this.state, event] });
    }
    this.service.send(event as never);
    return this.state;
  }
}
