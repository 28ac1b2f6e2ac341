import * as sendTrials from './send-trial.js';

/**
 * Number of hosts whose calls got no answer, with no answer to any host in between, from which on all hosts are bound. One
 * alone may be cut off from the upstream.
 */
const MIN_HOSTS = 2;

/** A call as its trial depends on it. */
export interface TriedCall {
  readonly callId: string;
  readonly hostId: string;
}

/** The trials of one upstream: of single hosts whose calls got no answer, and of all hosts. */
export class HostTrials {
  private readonly all = new sendTrials.SendTrial();
  private readonly byHost = new Map<string, sendTrials.SendTrial>();
  /** Hosts whose calls got no answer since the last answer. */
  private readonly unanswered = new Set<string>();

  /** Creates the trials; `countHosts` returns the number of hosts that send calls, if they are few. */
  public constructor(private readonly countHosts: () => number = () => MIN_HOSTS) {}

  /** Returns whether all hosts are bound. */
  public isOn(now: number): boolean {
    return this.all.isOn(now);
  }

  /** Returns the end of the pause that all hosts make. */
  public getPauseEnd(): number {
    return this.all.getPauseEnd();
  }

  /** Returns whether a call of some host may be sent now. */
  public isOpen(now: number): boolean {
    return this.all.mayReceive(now);
  }

  /** Returns whether a call of a host may be sent now. */
  public mayReceive(hostId: string, now: number): boolean {
    return this.isOpen(now) && this.byHost.get(hostId)?.mayReceive(now) !== false;
  }

  /** Records that a call is sent. */
  public recordSend({ callId, hostId }: TriedCall, now: number): void {
    this.all.recordSend(callId, now);
    this.byHost.get(hostId)?.recordSend(callId, now);
  }

  /** Records the end of a call; `hasAnswered` is `undefined` if it shows nothing about the upstream. */
  public recordEnd(call: TriedCall, hasAnswered: boolean | undefined, now: number): void {
    const { callId, hostId } = call;
    if (hasAnswered === true) {
      this.unanswered.clear();
      this.byHost.delete(hostId);
    } else if (hasAnswered === false) {
      this.unanswered.add(hostId);
      this.byHost.set(hostId, this.byHost.get(hostId) ?? new sendTrials.SendTrial());
    }
    this.byHost.get(hostId)?.recordEnd(callId, hasAnswered, now);
    const minHosts = Math.min(MIN_HOSTS, this.countHosts());
    const isShown = hasAnswered !== false || this.unanswered.size >= minHosts;
    this.all.recordEnd(callId, isShown ? hasAnswered : undefined, now);
  }
}
