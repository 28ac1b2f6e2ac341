import * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';

/** How many bytes of an answer are passed on, and how its connections end then. */
export interface Cut {
  readonly length: number;
  readonly end: fakes.ConnectionEnd;
}

/** Time between the last byte of an answer and a late end of its connection, in milliseconds. */
const LATE_MS = 10;

/** Relays connections to an upstream, and cuts the answers to some calls short. */
export class CuttingRelay {
  /** Number of answers that were cut, and of those on connections that had served another call. */
  public cuts = 0;
  public cutsOnReused = 0;
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer({ noDelay: true }, (near) => this.relay(near));

  public constructor(
    private readonly port: number,
    /** Returns how the answer to a call is cut; undefined if all of it is passed on. */
    private readonly findCut: (call: string) => Cut | undefined,
  ) {}

  /** Starts to listen and returns the address. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Closes every connection. */
  public close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private relay(near: net.Socket): void {
    const far = net.connect({ port: this.port, host: '127.0.0.1', noDelay: true });
    let calls = 0;
    let cut: Cut | undefined;
    let passed = 0;
    [near, far].forEach((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
    });
    near.on('close', () => far.destroy());
    far.on('close', () => cut === undefined && near.destroySoon());
    near.on('data', (bytes: Buffer) => {
      calls += 1;
      const found = this.findCut(bytes.toString('latin1'));
      if (found !== undefined) {
        cut = found;
        this.cuts += 1;
        this.cutsOnReused += calls > 1 ? 1 : 0;
      }
      far.write(bytes);
      if (cut?.length === 0) {
        end(near, cut.end);
      }
    });
    far.on('data', (bytes: Buffer) => {
      if (cut === undefined) {
        near.write(bytes);
      } else if (passed < cut.length) {
        near.write(bytes.subarray(0, cut.length - passed));
        passed += bytes.length;
        if (passed >= cut.length) {
          end(near, cut.end);
        }
      }
    });
  }
}

function end(socket: net.Socket, kind: fakes.ConnectionEnd): void {
  const finish = () => {
    if (kind.endsWith('reset')) {
      fakes.resetConnection(socket);
    } else {
      socket.end();
    }
  };
  if (kind.startsWith('late')) {
    setTimeout(finish, LATE_MS);
  } else {
    socket.write('', finish);
  }
}
