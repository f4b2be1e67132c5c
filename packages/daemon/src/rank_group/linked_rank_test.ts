import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import type * as rankEngine from "./rank_engine.ts";
import * as rankFixture from "./rank_fixture.ts";
import * as rankHandle from "./rank_handle.ts";
import * as linkedRank from "./linked_rank.ts";

const test = ava.default;

const VERSION = 5;

/**
 * A link that answers a command with a state from before the command, and
 * delivers a newer state right after the answer.
 */
function createLink(linkedHandle: linkedRank.LinkedRank): wire.Link {
  const link = {
    end: undefined,
    send: (command: wire.RankCommand) => {
      const kind = wire.MessageKind.RankReply as const;
      const end = wire.RankOrderEnd.Done;
      const status = rankFixture.createStatus({ preparedVersion: 0 });
      const { question } = command;
      linkedHandle.receive(
        { kind, question, end, detail: "", token: 1, status },
        link,
      );
      linkedHandle.updateStatus(
        rankFixture.createStatus({ preparedVersion: VERSION }),
      );
    },
  } as unknown as wire.Link;
  return link;
}

// The rank reports that it has loaded the map right after it accepted the
// order, so the leader receives both messages at once. If the older state in
// the reply replaced the newer one, most switches would keep streams waiting
// for the slowest rank for 0.25 s longer.
test("the state in a reply does not replace a newer state", async (t) => {
  const linkedHandle = new linkedRank.LinkedRank(
    1,
    {} as rankEngine.RankEngine,
    () => ({
      token: 1,
      epoch: 1,
    }),
  );
  linkedHandle.attach(createLink(linkedHandle));
  const kind = wire.RankOrderKind.Prepare as const;
  const reply = await linkedHandle.order({ kind, version: VERSION, map: [] });
  t.is(reply.end, wire.RankOrderEnd.Done);
  t.is(linkedHandle.status?.preparedVersion, VERSION);
});

test("the state in a reply is recorded if no newer one arrived", async (t) => {
  const linkedHandle = new linkedRank.LinkedRank(
    1,
    {} as rankEngine.RankEngine,
    () => ({
      token: 1,
      epoch: 1,
    }),
  );
  const status = rankFixture.createStatus({ step: 40 });
  const link = {
    end: undefined,
    send: ({ question }: wire.RankCommand) => {
      const kind = wire.MessageKind.RankReply as const;
      const end = wire.RankOrderEnd.Done;
      linkedHandle.receive(
        { kind, question, end, detail: "", token: 1, status },
        link,
      );
    },
  } as unknown as wire.Link;
  linkedHandle.attach(link);
  await linkedHandle.order({ kind: wire.RankOrderKind.Release, step: 41 });
  t.is(linkedHandle.status?.step, 40);
  t.true(linkedHandle.fresh);
});

// The leader would believe that the ranks use two maps, and would plan no
// further map until the process beside the rank has read its engine again.
test("a state that was read before a switch does not undo the recorded switch", (t) => {
  const linkedHandle = new linkedRank.LinkedRank(
    1,
    {} as rankEngine.RankEngine,
    () => ({
      token: 1,
      epoch: 1,
    }),
  );
  linkedHandle.updateStatus(
    rankFixture.createStatus({ mapVersion: 4, armedVersion: 5 }),
  );
  linkedHandle.noteSwitched(5);
  t.is(linkedHandle.status?.mapVersion, 5);
  linkedHandle.updateStatus(
    rankFixture.createStatus({ mapVersion: 4, armedVersion: 5 }),
  );
  t.is(linkedHandle.status?.mapVersion, 5);
  t.is(linkedHandle.status?.armedVersion, 0);
  linkedHandle.updateStatus(
    rankFixture.createStatus({ epoch: 2, mapVersion: 0 }),
  );
  t.is(linkedHandle.status?.mapVersion, 0);
});

/** A rank whose process is heard from and replies to nothing; tells direct reports. */
function createSilentRank(onReport: () => void): linkedRank.LinkedRank {
  const report = async () => {
    onReport();
    return neverthrow.err("away");
  };
  const engine = { report } as unknown as rankEngine.RankEngine;
  const leadership = () => ({ token: 1, epoch: 1 });
  const linkedHandle = new linkedRank.LinkedRank(1, engine, leadership);
  const link = { end: undefined, send: () => {} } as unknown as wire.Link;
  linkedHandle.attach(link);
  linkedHandle.updateStatus(rankFixture.createStatus());
  return linkedHandle;
}

// Guards against a group that stands still for longer, as its successor waits for the
// reply to an order that the engine could have had.
test("an awaited order goes to the engine before an unhurried one does", async (t) => {
  const kind = wire.RankOrderKind.Prepare as const;
  const order = { kind, version: VERSION, map: [] };
  const asked: rankHandle.OrderUrgency[] = [];
  const { Awaited, Unhurried } = rankHandle.OrderUrgency;
  // The urgent one is ordered last, so that equal times would put it behind.
  const replies = [Unhurried, Awaited].map((urgency) =>
    createSilentRank(() => asked.push(urgency)).order(order, urgency),
  );
  for (const reply of await Promise.all(replies))
    t.is(reply.end, wire.RankOrderEnd.Unknown);
  t.is(asked[0], Awaited);
  t.true(asked.includes(Unhurried));
});
