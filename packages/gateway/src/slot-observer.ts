import type * as scheduling from '@bramleyridge/scheduling';

/** Observes the requests for slots of plain services. Requests that their hosts withdraw are not settled. */
export interface SlotObserver {
  /** Records that a call asks for a slot. */
  recordAsked(service: string, spec: scheduling.CallSpec): void;
  /** Records that a call got a slot or was refused; `getLoad` returns the load of its upstream, or of all without one. */
  recordSettled(
    service: string,
    settled: scheduling.SettledCall,
    getLoad: () => scheduling.ServiceLoad,
  ): void;
}
