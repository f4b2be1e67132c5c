import * as http from "node:http";
import type * as net from "node:net";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as traffic from "@geraniumkeel/traffic";
import * as neverthrow from "neverthrow";
import type * as runnerPool from "./runner_pool.ts";
import * as tableData from "../table_data.ts";
import * as tableService from "./table_service.ts";

const HOST = "service.example";
const PATH = "/a/";
const PATIENCE_MILLISECONDS = 8_000;
const LINKED_MILLISECONDS = 10_000;
/** Longest time that a look at the configuration waits, in milliseconds. */
const LONGEST_LOOK = 100;

/** Accounts of the deployment; each has the key `key-NAME`. */
export enum AccountName {
  One = "one",
  Other = "other",
}

/** What differs between deployments of a few entries before a pool of runners. */
export interface GatewaysShape {
  entries: number;
  repeatability: traffic.Repeatability;
  inLockStep: boolean;
}

/** An entry in this process. */
export interface RunningGateway {
  gateway: daemon.Gateway;
  logger: common.RecordingLogger;
  lifeCycle: common.LifeCycle;
}

/** What an entry reads of what the operator writes. */
interface OperatorSources {
  configuration: traffic.DocumentSource<traffic.TrafficConfiguration>;
  evacuations: traffic.DocumentSource<traffic.EvacuationList>;
}

/** What a caller saw of one request. */
export interface Seen {
  status: "whole" | "broken" | daemon.RefusalKind | "failed";
  refusal: daemon.Refusal | undefined;
}

/** Runners that entries can follow and call. */
export interface CallablePool {
  readonly shape: { service: string };
  source(): traffic.DocumentSource<traffic.RunnerList>;
  callerOf(entry: string): daemon.RunnerClient;
  close(): void;
}

/** A few entries with links between them, before one pool of runners. */
export class Gateways<Pool extends CallablePool = runnerPool.RunnerPool> {
  readonly running: RunningGateway[] = [];
  /** Rows that all entries share. */
  readonly data = new tableData.TableData();
  /** The table as a test sees it. */
  readonly table = tableService.createTable(this.data);
  /** What the operator has written, as the table tells it. */
  configuration: traffic.TrafficConfiguration;
  /** Data centres that the operator evacuates, and the version of their rows. */
  evacuations: string[] = [];
  evacuationsVersion = 1;
  /** Entries that read nothing of what the operator writes. */
  readonly cutFromStore = new Set<string>();
  #requests = 0;

  private constructor(
    readonly shape: GatewaysShape,
    readonly pool: Pool,
  ) {
    this.configuration = configurationOf(shape, pool);
  }

  /** Starts the entries; they are linked and ready when this resolves. */
  static async start<Pool extends CallablePool>(
    pool: Pool,
    change: Partial<GatewaysShape> = {},
  ): Promise<Gateways<Pool>> {
    const shape: GatewaysShape = {
      entries: 3,
      repeatability: traffic.Repeatability.Idempotent,
      inLockStep: false,
      ...change,
    };
    const gateways = new Gateways(shape, pool);
    const hosts = Array.from(
      { length: shape.entries },
      (_, number) => `entry-${number}`,
    );
    const started = await Promise.all(
      hosts.map((host) => gateways.#begin(host)),
    );
    await Promise.all(started.map((one) => gateways.#linkedAndReady(one)));
    return gateways;
  }

  /** Starts one more entry, or one that was stopped; resolves once it is linked. */
  async startOne(host: string): Promise<RunningGateway> {
    const started = await this.#begin(host);
    await this.#linkedAndReady(started);
    return started;
  }

  async #begin(host: string): Promise<RunningGateway> {
    const lifeCycle = new common.LifeCycle(host);
    const logger = new common.RecordingLogger();
    const links = http.createServer();
    await new Promise<void>((resolve) => links.listen(0, "127.0.0.1", resolve));
    lifeCycle.own({
      name: "links",
      close: () => {
        links.close();
        links.closeAllConnections();
      },
    });
    const { port } = links.address() as net.AddressInfo;
    const table = tableService.createTable(this.data, logger);
    const looks = this.#operatorSources(host, table);
    const gateway = new daemon.Gateway({
      bounds: daemon.callerBounds(daemon.DEFAULT_HOST_LIMITS),
      self: {
        host,
        dataCentre: "d",
        address: "127.0.0.1",
        linkPort: port,
        callerPort: 1,
      },
      seeds: [],
      revocationMilliseconds: 5_000,
      stop: new daemon.PlannedStop({ graceMilliseconds: 8_000, lifeCycle }),
      retries: { share: 1, allowance: 10_000 },
      table,
      configurationSource: looks.configuration,
      runnerSource: this.pool.source(),
      evacuationSource: looks.evacuations,
      runnerClient: this.pool.callerOf(host),
      logger,
      metrics: common.discardMetrics(),
      lifeCycle,
      random: new common.Random(common.hash32(host)),
    });
    gateway.start(links);
    const others = this.running.filter(
      ({ gateway: { host: other } }) => other !== host,
    );
    const started = { gateway, logger, lifeCycle };
    this.running.splice(0, this.running.length, ...others, started);
    return started;
  }

  /** What one entry reads of what the operator has written. */
  #operatorSources(
    host: string,
    table: tableService.MemoryTable,
  ): OperatorSources {
    let told: traffic.TrafficConfiguration | undefined;
    let toldEvacuations: string[] | undefined;
    let toldEpoch = -1;
    const rows = new traffic.EvacuationRows();
    const looks = new traffic.SharedLook(
      async (waitMilliseconds) => {
        const isTold = () =>
          told === this.configuration &&
          toldEvacuations === this.evacuations &&
          toldEpoch === this.data.epoch;
        if (isTold())
          await common.sleep(Math.min(waitMilliseconds, LONGEST_LOOK));
        if (this.cutFromStore.has(host)) {
          const kind = traffic.SourceFailureKind.Unavailable;
          return neverthrow.err({ kind, reason: "cut off" });
        }
        const answer = await table.get("configuration");
        if (answer.isErr()) {
          const kind = traffic.SourceFailureKind.Unavailable;
          return neverthrow.err({ kind, reason: answer.error.reason });
        }
        const changed = !isTold();
        told = this.configuration;
        toldEvacuations = this.evacuations;
        toldEpoch = this.data.epoch;
        rows.take({
          epoch: toldEpoch,
          version: this.evacuationsVersion,
          dataCentres: toldEvacuations,
          changed,
        });
        return neverthrow.ok(undefined);
      },
      () => toldEpoch,
    );
    return {
      configuration: looks.source(() => neverthrow.ok(told)),
      evacuations: looks.source(() => neverthrow.ok(rows.list)),
    };
  }

  /** Evacuates exactly these data centres, as an operator does. */
  evacuate(...dataCentres: string[]): void {
    this.evacuations = dataCentres;
    this.evacuationsVersion++;
  }

  async #linkedAndReady({ gateway }: RunningGateway): Promise<void> {
    await until(() => gateway.ready && this.#linked(gateway));
  }

  /** Ends an entry at once, as a kill does to its links. */
  async stopOne(host: string): Promise<void> {
    const index = this.running.findIndex(
      ({ gateway }) => gateway.host === host,
    );
    const [stopped] = this.running.splice(index, 1);
    await stopped.lifeCycle.close();
  }

  /** Sends a request to an entry and waits for what the caller sees. */
  async send(
    entry: number,
    body: string,
    change: {
      account?: AccountName;
      path?: string;
      left?: AbortSignal;
      parts?: readonly string[];
    } = {},
  ): Promise<Seen> {
    const { account = AccountName.One, path = `${PATH}x`, left } = change;
    const identifier = `q-${++this.#requests}`;
    const { gateway } = this.running[entry % this.running.length];
    const seen: Seen = { status: "failed", refusal: undefined };
    await gateway.forwarder.forward(
      {
        identifier,
        method: "POST",
        target: path,
        path,
        host: HOST,
        headers: [],
        body: Buffer.from(body),
        key: `key-${account}`,
        timeoutMilliseconds: PATIENCE_MILLISECONDS,
        resumeAfter: "",
        promptParts: change.parts ?? [],
        arrivedAt: common.instant(),
      },
      sinkInto(seen, left ?? new AbortController().signal),
    );
    return seen;
  }

  /** Ends all entries. */
  async close(): Promise<void> {
    this.pool.close();
    await Promise.all(this.running.map(({ lifeCycle }) => lifeCycle.close()));
  }

  #linked(gateway: daemon.Gateway): boolean {
    const heard = gateway.mesh.known().filter(({ beat }) => beat);
    return heard.length >= this.running.length - 1;
  }
}

/** Resolves once a condition holds; throws if it does not for long. */
export async function until(
  condition: () => boolean,
  milliseconds = LINKED_MILLISECONDS,
): Promise<void> {
  const deadline = common.now() + milliseconds;
  while (!condition()) {
    if (common.now() > deadline) throw new Error("condition not met in time");
    await common.sleep(10);
  }
}

function sinkInto(seen: Seen, left: AbortSignal): daemon.AnswerSink {
  return {
    disconnected: left,
    answer: async ({ status }) => {
      seen.status = status < 300 ? "whole" : "failed";
      return true;
    },
    begin: () => {},
    write: () => Promise.resolve(),
    end: async () => {
      seen.status = "whole";
      return true;
    },
    abort: () => (seen.status = "broken"),
    refuse: async (refusal) => {
      seen.status = refusal.kind;
      seen.refusal = refusal;
      return true;
    },
  };
}

function configurationOf(
  { repeatability, inLockStep }: GatewaysShape,
  pool: CallablePool,
): traffic.TrafficConfiguration {
  const { service } = pool.shape;
  const accounts = Object.values(AccountName);
  return {
    version: 1,
    routes: [
      {
        name: "r",
        host: HOST,
        prefix: PATH,
        repeatability,
        answerForm: traffic.AnswerForm.Events,
        open: false,
        shares: [{ service, weight: 1 }],
        mostAttempts: 2,
        timeoutMilliseconds: PATIENCE_MILLISECONDS,
        objectiveMilliseconds: 400,
        gapMilliseconds: 120,
        urgency: 1,
      },
    ],
    services: [
      {
        name: service,
        engine: inLockStep ? ({ layers: 1 } as never) : undefined,
        warmUpRequestsPerSecond: 0,
      },
    ],
    accounts: accounts.map((name) => ({
      name,
      keys: [`key-${name}`],
      urgency: undefined,
    })),
    limits: {
      mostHeaderBytes: 16_384,
      mostBodyBytes: 1_000_000,
      headerMilliseconds: 1_000,
      idleMilliseconds: 1_000,
    },
  };
}
