import * as requests from '@bramleyridge/requests';

/** The end of an answer of which nobody knows whether it is that of its run, or whether this host has stopped the run. */
export class UnknownEndError extends requests.UpstreamError {
  public constructor(peer: string) {
    super('lost', 'confirm-end', peer);
  }
}
