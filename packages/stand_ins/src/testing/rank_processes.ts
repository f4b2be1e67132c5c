import * as http from "node:http";
import type * as net from "node:net";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as entryMesh from "@geraniumkeel/daemon/mesh/entry_mesh";
import * as listen from "@geraniumkeel/daemon/settings/listen";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import type * as rankGroupStandIn from "../rank_group_stand_in.ts";

const SERVICE = "assistant";
const ENGINE_PORT = 1;
const LINK_BYTES_PER_SECOND = 1_750_000;

/** The shape of the stand-in's engines: one layer, room for spare copies. */
export const SHAPE: traffic.EngineShape = {
  slots: 8,
  stepMilliseconds: 6,
  sequenceMilliseconds: 0.5,
  promptTokensPerMillisecond: 61,
  stepsPerPass: 5,
  layers: 1,
  expertsPerLayer: 8,
  expertSlots: 3,
  spareSlots: 1,
  expertShare: 0.85,
  copyMilliseconds: 8,
  usualPromptTokens: 800,
  usualAnswerTokens: 150,
};

/** Loopback address of the host of a rank. */
export function addressOf(rank: number): string {
  return `127.0.1.${rank + 1}`;
}

/** The runner of each rank, as the store lists them. */
export function runnersOf(
  group: rankGroupStandIn.RankGroupStandIn,
): traffic.RunnerEntry[] {
  return Array.from({ length: group.size }, (_, rank) => ({
    identifier: `runner-${rank}`,
    bornAt: 0,
    version: "1",
    service: SERVICE,
    address: addressOf(rank),
    port: ENGINE_PORT,
    dataCentre: "a",
    slots: SHAPE.slots,
    leaving: false,
    warmingUp: false,
  }));
}

/** A port that is free on the address of every rank. */
export async function freeLinkPort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, addressOf(0), () => resolve()),
  );
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Opens a link to the process beside a rank, as another rank's process does. */
export async function dialRank(
  rank: number,
  linkPort: number,
): Promise<wire.Link> {
  const dialled = await wire.dial({
    url: `ws://${addressOf(rank)}:${linkPort}${listen.LINK_PATH}`,
    key: entryMesh.LINK_KEY,
    timing: entryMesh.LINK_TIMING,
    heartbeat: entryMesh.emptyHeartbeat,
  });
  return dialled._unsafeUnwrap();
}

/** Whether the store answers the processes beside the ranks. */
export enum StoreState {
  Away = "away",
  Answers = "answers",
}

/** A document that never changes; `undefined`: its store is away for good. */
function sourceOf<T extends traffic.Versioned>(
  value: T | undefined,
): traffic.DocumentSource<T> {
  const kind = traffic.SourceFailureKind.Unavailable;
  return {
    next: async () =>
      value
        ? neverthrow.ok({ value })
        : neverthrow.err({ kind, reason: "the store is away" }),
  };
}

function configurationOf(
  shape: traffic.EngineShape,
): traffic.TrafficConfiguration {
  return {
    version: 1,
    routes: [],
    services: [{ name: SERVICE, engine: shape, warmUpRequestsPerSecond: 0 }],
    accounts: undefined,
    limits: {
      mostHeaderBytes: 16_384,
      mostBodyBytes: 65_536,
      headerMilliseconds: 1_000,
      idleMilliseconds: 1_000,
    },
  };
}

/** Starts the process beside one rank. */
export async function startRankProcess(parameters: {
  group: rankGroupStandIn.RankGroupStandIn;
  rank: number;
  linkPort: number;
  lifeCycle: common.LifeCycle;
  store: StoreState;
  logger?: common.Logger;
  /** Engines of the group; `SHAPE` without it. */
  shape?: traffic.EngineShape;
  linkBytesPerSecond?: number;
  /** The engine of another rank, as this process reaches it directly. */
  engineOf?: (rank: number) => daemon.RankEngine;
  /** Port to listen at if others reach the process through something else. */
  listenPort?: number;
}): Promise<daemon.RankProcess> {
  const { group, rank, linkPort, lifeCycle } = parameters;
  const { shape = SHAPE, listenPort = linkPort } = parameters;
  const { linkBytesPerSecond = LINK_BYTES_PER_SECOND } = parameters;
  const { engineOf = (other) => group.engine(other) } = parameters;
  const answers = parameters.store === StoreState.Answers;
  const server = http.createServer();
  const rankProcess = new daemon.RankProcess({
    host: `host-${rank}`,
    service: SERVICE,
    engine: group.engine(rank),
    reader: group.engine(rank),
    engineAt: ({ address }) => engineOf(Number(address.split(".").at(-1)) - 1),
    linkPort,
    linkBytesPerSecond,
    configurationSource: sourceOf(answers ? configurationOf(shape) : undefined),
    runnerSource: sourceOf(
      answers ? { version: 1, runners: runnersOf(group) } : undefined,
    ),
    logger: parameters.logger ?? new common.RecordingLogger(),
    lifeCycle,
  });
  await new Promise<void>((resolve) =>
    server.listen(listenPort, addressOf(rank), () => resolve()),
  );
  lifeCycle.own({ name: "server", close: () => void server.close() });
  rankProcess.start(server);
  return rankProcess;
}
