import * as net from "node:net";

/** What a proxy does with connections. */
export enum ProxyMode {
  Pass = "pass",
  /** Open connections go silent for good; new ones work. */
  SilenceOpen = "silence-open",
  /** Everything is silent, new connections included. */
  SilenceAll = "silence-all",
  /** Connections are cut and new ones refused. */
  Cut = "cut",
}

/** A TCP path between two processes, on which faults can be switched on. */
export class TcpProxy {
  readonly #pairs = new Set<{ near: net.Socket; far: net.Socket }>();
  readonly #near = new Set<net.Socket>();
  readonly #silenced = new WeakSet<net.Socket>();
  #mode = ProxyMode.Pass;
  #delayMilliseconds = 0;
  /** Port that connections are passed on to. */
  target = 0;

  private constructor(
    readonly server: net.Server,
    readonly port: number,
  ) {}

  /** Starts a proxy on loopback; its target is set later. */
  static async start(): Promise<TcpProxy> {
    const server = net.createServer({ allowHalfOpen: false });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve()),
    );
    const { port } = server.address() as net.AddressInfo;
    const proxy = new TcpProxy(server, port);
    server.on("connection", (near) => proxy.#connect(near));
    return proxy;
  }

  /** Base URL that stands for the target's. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Switches a fault on, or back to passing. */
  set(mode: ProxyMode): void {
    this.#mode = mode;
    switch (mode) {
      case ProxyMode.Pass:
        return;
      case ProxyMode.SilenceOpen:
      case ProxyMode.SilenceAll:
        for (const { near, far } of this.#pairs) {
          this.#silenced.add(near);
          this.#silenced.add(far);
        }
        return;
      case ProxyMode.Cut:
        for (const { near, far } of this.#pairs) {
          near.destroy();
          far.destroy();
        }
        return;
    }
  }

  /** Delays all bytes from now on. */
  delay(milliseconds: number): void {
    this.#delayMilliseconds = milliseconds;
  }

  /** Closes everything. */
  close(): Promise<void> {
    this.set(ProxyMode.Cut);
    for (const near of this.#near) near.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  #connect(near: net.Socket): void {
    near.on("error", () => near.destroy());
    if (this.#mode === ProxyMode.Cut) {
      near.destroy();
      return;
    }
    this.#near.add(near);
    near.once("close", () => this.#near.delete(near));
    if (this.#mode === ProxyMode.SilenceAll) return;
    const far = net.connect(this.target, "127.0.0.1");
    const pair = { near, far };
    this.#pairs.add(pair);
    far.on("error", () => far.destroy());
    this.#forward(near, far);
    this.#forward(far, near);
    near.on("close", () => {
      this.#pairs.delete(pair);
      // Something that forgot a connection does not tell the other end either.
      if (!this.#silenced.has(far)) far.destroy();
    });
    far.on("close", () => {
      if (!this.#silenced.has(near)) near.destroy();
    });
  }

  #forward(from: net.Socket, to: net.Socket): void {
    from.on("data", (data) => {
      if (this.#silenced.has(from)) return;
      if (this.#delayMilliseconds === 0) {
        to.write(data);
        return;
      }
      setTimeout(() => to.write(data), this.#delayMilliseconds);
    });
  }
}
