import type * as intents from '@bramleyridge/intents';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';

/** The routed configuration in force on this host; its version only increases while the process runs. */
export class RoutedConfigurationStore {
  private table: routing.RouteTable | undefined;
  private ready = false;

  public constructor(
    private readonly codec: ports.DocumentCodec,
    private readonly log: schemas.Log,
  ) {}

  /** Returns the routes in force; `undefined` before there are any. */
  public findTable(): routing.RouteTable | undefined {
    return this.ready ? this.table : undefined;
  }

  /** Returns the version in force; -1 before the first. */
  public getVersion(): number {
    return this.table?.config.version ?? -1;
  }

  /**
   * Allows this host to serve with the configuration that it has. After a restart, a host without a disk has no record
   * of the version in force, and a partitioned core host may offer an older one, so the host first waits for a core
   * host that has contact with the leader.
   */
  public markReady(): void {
    this.ready = true;
  }

  /** Puts a document into force if its version is higher. */
  public offer(document: intents.DeclaredDocument): void {
    const former = this.getVersion();
    if (document.version <= former) {
      return;
    }
    try {
      this.table = new routing.RouteTable(this.codec.decode(document.text, 'log'));
      this.log.info({
        event: 'configuration-in-force',
        version: document.version,
        former,
        routes: this.table.config.routes.length,
      });
    } catch (err) {
      // Documents are validated before they are accepted, so this is a bug; the former version stays in force.
      const { message } = schemas.toError(err);
      this.log.error({
        event: 'configuration-unreadable',
        version: document.version,
        err: message,
      });
    }
  }
}
