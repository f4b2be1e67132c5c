import * as net from "node:net";
import * as common from "@geraniumkeel/common";

/** A connection that goes through the uplink. */
export interface UplinkPath {
  /** Where connections are accepted. */
  address: string;
  port: number;
  /** Port at the same address that they are passed on to. */
  targetPort: number;
}

/** Bytes that leave at once; a queue of larger pieces would let none between. */
const PIECE_BYTES = 1_500;

/**
 * The network link of one host, with a bandwidth of its own: what the host sends on
 * any of its connections goes out one piece after the other. What it receives is not
 * limited.
 */
export class SharedUplink {
  readonly #servers: net.Server[] = [];
  readonly #sockets = new Set<net.Socket>();
  /** When the last piece that was queued will have gone out. */
  #busyUntil = 0;

  constructor(readonly bytesPerSecond: number) {}

  /** Opens a path on which the host that has this uplink is the one that dials. */
  async open({ address, port, targetPort }: UplinkPath): Promise<void> {
    const server = net.createServer((near) =>
      this.#connect(near, address, targetPort),
    );
    await new Promise<void>((resolve) =>
      server.listen(port, address, () => resolve()),
    );
    this.#servers.push(server);
  }

  /**
   * Sends bytes that go no path opened here; resolves when they have gone out.
   * Returns whether that took no longer than the limit.
   */
  async sendWithin(bytes: number, limitMilliseconds: number): Promise<boolean> {
    const milliseconds = this.#queue(bytes);
    await common.sleep(Math.min(milliseconds, limitMilliseconds));
    return milliseconds <= limitMilliseconds;
  }

  /** Closes all paths. */
  close(): void {
    for (const server of this.#servers) server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #connect(near: net.Socket, address: string, targetPort: number): void {
    const far = net.connect(targetPort, address);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ]) {
      this.#sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
    far.on("data", (piece) => near.write(piece));
    near.on("data", (bytes) => this.#send(bytes, far));
  }

  #send(bytes: Buffer, to: net.Socket): void {
    for (let from = 0; from < bytes.length; from += PIECE_BYTES) {
      const piece = bytes.subarray(from, from + PIECE_BYTES);
      setTimeout(() => to.write(piece), this.#queue(piece.length));
    }
  }

  /** Queues bytes; returns in how many milliseconds they will have gone out. */
  #queue(bytes: number): number {
    const now = common.now();
    const milliseconds = (bytes * 1_000) / this.bytesPerSecond;
    this.#busyUntil = Math.max(this.#busyUntil, now) + milliseconds;
    return this.#busyUntil - now;
  }
}
