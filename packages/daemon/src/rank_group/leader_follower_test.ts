import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as leaderFollower from "./leader_follower.ts";
import * as rankEngine from "./rank_engine.ts";
import * as rankFixture from "./rank_fixture.ts";
import * as rankMember from "./rank_member.ts";
import * as linkedRank from "./linked_rank.ts";

const test = ava.default;

const TOKEN = 7;
const EPOCH = 2;
const BASE = 3;
const MAP: wire.RankMap = [
  [[0, 1], [2]],
  [[0], [1, 2]],
];
const NEXT: wire.RankMap = [
  [[0, 1], [2]],
  [[0, 2], [1]],
];

type PrepareOrder = Extract<
  wire.RankOrder,
  { kind: wire.RankOrderKind.Prepare }
>;

/**
 * An engine with a map of the given version; records the maps that it is
 * ordered to prepare.
 */
function createEngine(mapVersion: number): {
  engine: rankEngine.RankEngine;
  prepared: PrepareOrder[];
} {
  const prepared: PrepareOrder[] = [];
  const engine: rankEngine.RankEngine = {
    report: async () =>
      neverthrow.ok({
        identity: { group: "g", epoch: EPOCH, rank: 1, size: 2 },
        bornAt: 0,
        status: rankFixture.createStatus({ epoch: EPOCH, mapVersion }),
        sequence: 0,
        loading: false,
      }),
    chosen: async () => neverthrow.err("not asked"),
    lists: async () => neverthrow.err("not asked"),
    order: async (order) => {
      if (order.kind === wire.RankOrderKind.Prepare) prepared.push(order);
      return rankEngine.EngineAnswer.Accepted;
    },
  };
  return { engine, prepared };
}

/**
 * A leader's handle and the process beside its rank, with a link between them.
 */
function createPair(engine: rankEngine.RankEngine): {
  handle: linkedRank.LinkedRank;
  member: rankMember.RankMember;
  sent: wire.Message[];
  close: () => void;
} {
  const member = new rankMember.RankMember(engine);
  const follower = new leaderFollower.LeaderFollower({
    host: "h",
    engine,
    member,
    ownToken: () => -1,
    onNewerLeader: () => {},
    lifeCycle: new common.LifeCycle("test"),
  });
  const handle = new linkedRank.LinkedRank(1, engine, () => ({
    token: TOKEN,
    epoch: EPOCH,
  }));
  const inbox = new common.Channel<wire.Message>();
  const sent: wire.Message[] = [];
  const leaderSide = {
    end: undefined,
    send: (message: wire.Message) => {
      sent.push(message);
      inbox.push(message);
    },
  } as unknown as wire.Link;
  const rankSide = {
    end: undefined,
    closeOn: () => {},
    close: () => inbox.close(),
    messages: () => inbox[Symbol.asyncIterator](),
    send: (message: wire.Message) => {
      if (message.kind !== wire.MessageKind.RankReply) return;
      handle.receive(message, leaderSide);
    },
  } as unknown as wire.Link;
  handle.attach(leaderSide);
  void follower.serve(rankSide, new AbortController().signal);
  return { handle, member, sent, close: () => inbox.close() };
}

/** The order to prepare the next map, with the changes from the base map. */
function prepareNextOrder(): PrepareOrder {
  const version = BASE + 1;
  return {
    kind: wire.RankOrderKind.Prepare,
    version,
    map: NEXT,
    changes: {
      kind: wire.RankOrderKind.PrepareChanges,
      version,
      base: BASE,
      exchanges: wire.packDocument([
        [1, 0, [], [2]],
        [1, 1, [2], []],
      ]),
    },
  };
}

function kindsOf(sent: wire.Message[]): string[] {
  return sent.flatMap((message) =>
    message.kind === wire.MessageKind.RankCommand ? [message.order.kind] : [],
  );
}

test("a rank that has the base map cached derives the full map from the changes", async (t) => {
  const { engine, prepared } = createEngine(BASE);
  const { handle, member, sent, close } = createPair(engine);
  t.teardown(close);
  const kind = wire.RankOrderKind.Prepare;
  const order = { kind, version: BASE, map: MAP } as const;
  await member.execute({ token: TOKEN, epoch: EPOCH, order });
  await handle.refresh();
  const reply = await handle.order(prepareNextOrder());
  t.is(reply.end, wire.RankOrderEnd.Done);
  t.deepEqual(kindsOf(sent), ["prepare-changes"]);
  t.deepEqual(prepared.at(-1)?.map, NEXT);
});

// The process beside a rank restarted and has no map cached. Changes alone
// would give its engine another map than the other ranks have, and the group
// would use two maps in one iteration. So it asks for the full map.
test("a rank that does not have the base map cached is sent the full map", async (t) => {
  const { engine, prepared } = createEngine(BASE);
  const { handle, sent, close } = createPair(engine);
  t.teardown(close);
  await handle.refresh();
  const reply = await handle.order(prepareNextOrder());
  t.is(reply.end, wire.RankOrderEnd.Done);
  t.deepEqual(kindsOf(sent), ["prepare-changes", "prepare-packed"]);
  t.deepEqual(
    prepared.map(({ map }) => map),
    [NEXT],
  );
});

test("a rank with another map in force is sent the full map at once", async (t) => {
  const { engine, prepared } = createEngine(BASE - 1);
  const { handle, sent, close } = createPair(engine);
  t.teardown(close);
  await handle.refresh();
  await handle.order(prepareNextOrder());
  t.deepEqual(kindsOf(sent), ["prepare-packed"]);
  t.deepEqual(prepared[0].map, NEXT);
});

// Guards against a rank that loads no map, or another one than the others, where the
// packed map of an order can't be read.
test("an order with an unreadable map is not carried out", async (t) => {
  const { engine, prepared } = createEngine(BASE);
  const { handle, close } = createPair(engine);
  t.teardown(close);
  await handle.refresh();
  const kind = wire.RankOrderKind.PreparePacked;
  const map = new Uint8Array([1, 2, 3]);
  const packed = { kind, version: BASE + 1, map } as const;
  const order = { ...prepareNextOrder(), changes: undefined, packed };
  const reply = await handle.order(order);
  t.is(reply.end, wire.RankOrderEnd.BaseUnknown);
  t.deepEqual(prepared, []);
});
