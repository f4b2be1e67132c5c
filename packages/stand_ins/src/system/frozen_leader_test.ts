import * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as wire from "@geraniumkeel/wire";
import * as rankGroupStandIn from "../rank_group_stand_in.ts";
import * as rankProcesses from "../testing/rank_processes.ts";

const test = ava.default;

const RANKS = 4;
const LEADER = 0;
const PASS_MILLISECONDS = 5;
/** Callers give up a stream that says nothing for two seconds. */
const LONGEST_STANDSTILL_MILLISECONDS = 2_000;

/** The host of a frozen process: connections are made, nothing is answered. */
async function freezeHost(
  t: ava.ExecutionContext,
  linkPort: number,
): Promise<void> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    sockets.add(socket);
  });
  await new Promise<void>((resolve) =>
    server.listen(linkPort, rankProcesses.addressOf(LEADER), () => resolve()),
  );
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
}

/** Has a leader tell the other ranks what its successor needs. */
async function tellKnowledge(
  group: rankGroupStandIn.RankGroupStandIn,
  linkPort: number,
  lifeCycle: common.LifeCycle,
): Promise<void> {
  const epoch = group.status(LEADER).epoch;
  for (let rank = 0; rank < RANKS; rank++) {
    if (rank === LEADER) continue;
    const link = await rankProcesses.dialRank(rank, linkPort);
    lifeCycle.own({ name: "link", close: () => link.close() });
    const token = 1;
    link.send({
      kind: wire.MessageKind.LeaderHeartbeat,
      token,
      group: "g",
      epoch,
      countMilliseconds: 100,
    });
    link.send({
      kind: wire.MessageKind.GroupKnowledge,
      group: "g",
      epoch,
      runners: rankProcesses.runnersOf(group),
      model: { shape: rankProcesses.SHAPE, gapMilliseconds: 120 },
    });
  }
}

// Callers of a whole group see their streams stand still and give up. The leader's
// host freezes after it has held a pass; connections to it are made and not
// answered, and the store is away. The next rank has to take over, reach the engine
// on the frozen host itself, and release the pass there.
test("a pass held by a frozen leader is released by its successor", async (t) => {
  const group = new rankGroupStandIn.RankGroupStandIn(RANKS);
  const passes = setInterval(() => group.pass(), PASS_MILLISECONDS);
  t.teardown(() => clearInterval(passes));
  const lifeCycle = new common.LifeCycle("test");
  t.teardown(() => lifeCycle.close());
  const linkPort = await rankProcesses.freeLinkPort();
  for (let rank = 0; rank < RANKS; rank++) {
    if (rank === LEADER) continue;
    await rankProcesses.startRankProcess({
      group,
      rank,
      linkPort,
      lifeCycle,
      store: rankProcesses.StoreState.Away,
    });
  }
  await freezeHost(t, linkPort);
  await tellKnowledge(group, linkPort, lifeCycle);
  const epoch = group.status(LEADER).epoch;
  const held = await group
    .engine(LEADER)
    .order(
      { kind: wire.RankOrderKind.Hold, step: group.step + 4 },
      { token: 1, epoch, sequence: 0 },
    );
  t.is(held, daemon.EngineAnswer.Accepted);
  const heldAt = common.now();
  const notice = new common.ChangeNotice();
  const look = setInterval(() => notice.announce(), PASS_MILLISECONDS);
  t.teardown(() => clearInterval(look));
  const released = await notice.until({
    condition: () => !group.held,
    timeoutMilliseconds: 10_000,
  });
  t.true(released);
  const standstill = common.now() - heldAt;
  t.true(standstill < LONGEST_STANDSTILL_MILLISECONDS, `${standstill} ms`);
  t.deepEqual(group.mixedPasses, []);
});
