import type * as intents from '@bramleyridge/intents';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';

/** The routed configuration that this host has in force; within one process it only moves to higher versions. */
export class RoutedConfigurationStore {
  private table: routing.RouteTable | undefined;
  private ready = false;

  public constructor(
    private readonly codec: ports.DocumentCodec,
    private readonly log: schemas.Log,
  ) {}

  /** The routes in force, or nothing before the first. */
  public findTable(): routing.RouteTable | undefined {
    return this.ready ? this.table : undefined;
  }

  /** The version in force; -1 before the first. */
  public getVersion(): number {
    return this.table?.config.version ?? -1;
  }

  /**
   * Lets this host serve by what it has. A host without a disk has forgotten what was in force; a core host that
   * was cut off may offer something older, so the word of one that hears the leader is waited for.
   */
  public markReady(): void {
    this.ready = true;
  }

  /** Takes a document when its version is higher. */
  public offer(document: intents.DeclaredDocument): void {
    const former = this.getVersion();
    if (document.version <= former) {
      return;
    }
    try {
      this.table = new routing.RouteTable(this.codec.decode(document.text));
      this.log.info({
        event: 'configuration-in-force',
        version: document.version,
        former,
        routes: this.table.config.routes.length,
      });
    } catch (err) {
      // It was checked before it was accepted, so this is a fault of this program; what is in force stays.
      const { message } = schemas.toError(err);
      this.log.error({
        event: 'configuration-unreadable',
        version: document.version,
        err: message,
      });
    }
  }
}
