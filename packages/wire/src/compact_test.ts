import * as ava from "ava";
import * as codec from "./codec.ts";
import * as compact from "./compact.ts";
import type * as mesh from "./mesh.ts";
import type * as message from "./message.ts";
import * as messageKind from "./message_kind.ts";
import type * as rankGroup from "./rank_group.ts";

const test = ava.default;

function createMeshBeat(
  parts: Partial<mesh.MeshHeartbeat> = {},
): mesh.MeshHeartbeat {
  return {
    kind: messageKind.MessageKind.MeshHeartbeat,
    stamp: 1_234,
    echoedStamp: 77,
    echoedAge: 12,
    ready: true,
    leaving: false,
    storeReachable: true,
    tableEpoch: 3,
    configuration: { version: 40_012, age: 310 },
    runners: { version: 51, age: -1 },
    evacuations: { version: 18, age: 310 },
    outstanding: [
      ["i-7f3a91c2", 2],
      ["i-0b", 1],
    ],
    ...parts,
  };
}

function createRankBeat(
  chosen: number[],
  pace?: number,
): rankGroup.RankHeartbeat {
  return {
    kind: messageKind.MessageKind.RankHeartbeat,
    token: 114_353_838_688_768,
    identity: { group: "g0-1", epoch: 2, rank: 5, size: 96 },
    status: {
      epoch: 2,
      open: true,
      active: 3,
      waiting: 1,
      step: 812,
      mapVersion: 114_353_838_688_001,
      preparedVersion: 114_353_838_688_065,
      armedVersion: 0,
      armedStep: 0,
      heldStep: -1,
      ...(pace !== undefined && { pace }),
    },
    chosen,
  };
}

function sent(value: message.Message): message.Message | undefined {
  const decoded = codec.decode(codec.encode(value));
  return decoded.isOk() ? decoded.value : undefined;
}

test("beats arrive as they were sent", (t) => {
  for (const beat of [
    createMeshBeat(),
    createMeshBeat({ ready: false, leaving: true, outstanding: [] }),
    createRankBeat([0, 5, 300]),
    createRankBeat([]),
    createRankBeat([0, 5, 300], 12),
    createRankBeat([], 1.5),
  ]) {
    t.deepEqual(sent(beat), beat);
  }
});

// An entry cut off from the store serves a key that was taken away: it holds its
// configuration for fresher than it is, as ages were rounded the wrong way.
test("a rounded age never makes a proof fresher", (t) => {
  const beat = createMeshBeat({
    echoedAge: 12.9,
    configuration: { version: 1, age: 310.1 },
    runners: { version: 1, age: 0.2 },
    evacuations: { version: 1, age: 7.3 },
  });
  const arrived = sent(beat) as mesh.MeshHeartbeat;
  t.true(arrived.echoedAge <= beat.echoedAge);
  t.true(arrived.configuration.age >= beat.configuration.age);
  t.true(arrived.runners.age >= beat.runners.age);
  t.true(arrived.evacuations.age >= beat.evacuations.age);
});

test("an idle entry's beat takes under 50 bytes, a rank's state under 80", (t) => {
  t.true(codec.encode(createMeshBeat({ outstanding: [] })).byteLength < 50);
  t.true(codec.encode(createRankBeat([])).byteLength < 80);
});

test("a list cut short or of other types is no message", (t) => {
  const beats = [createMeshBeat(), createRankBeat([1])];
  for (const beat of beats) t.truthy(sent(beat));
  for (const frame of [
    [messageKind.MessageKind.MeshHeartbeat, 1, 2],
    [
      messageKind.MessageKind.MeshHeartbeat,
      1,
      2,
      3,
      4,
      5,
      6,
      7,
      8,
      9,
      10,
      "i-1",
    ],
    [messageKind.MessageKind.RankHeartbeat, "g", 1, 2],
    [messageKind.MessageKind.RankHeartbeat, 1, 2, 3, 4, 5, 6, 7],
    [messageKind.MessageKind.Heartbeat, "1", 2],
  ]) {
    t.true(codec.decode(codec.encode(frame as never)).isErr());
  }
});

// A leader of the build before takes every number after the state for a count.
// One more would stand for an expert of a layer that its model lacks.
test("a slow rank's heartbeat has the fields that the build before reads", (t) => {
  const slow = createRankBeat([0, 5, 300], 12);
  const arrived = sent(slow) as rankGroup.RankHeartbeat;
  t.deepEqual(arrived.chosen, slow.chosen);
  t.like(arrived, createRankBeat([0, 5, 300]));
});

// With field names a state takes five times the bytes. A pace that varies a
// little around 0.98 would make each heartbeat that long, with no use to planning.
test("the heartbeat of a rank that is not slow is that of the build before", (t) => {
  const before = codec.encode(createRankBeat([0, 5, 300]));
  for (const pace of [1, 0.98, 0])
    t.deepEqual(codec.encode(createRankBeat([0, 5, 300], pace)), before);
});

// During a rolling update, heartbeats of the build before closed the link: they
// lack the proof of the evacuations, and so have two numbers less.
test("a heartbeat of the build before is read, without proof of evacuations", (t) => {
  for (const outstanding of [
    [],
    [["i-0b", 1]],
    [
      ["i-7f3a91c2", 2],
      ["i-0b", 1],
    ],
  ] as [string, number][][]) {
    const beat = createMeshBeat({ outstanding });
    const list = compact.toCompact(beat) ?? [];
    const before = [...list.slice(0, 10), ...list.slice(12)];
    const decoded = codec.decode(codec.encode(before as never));
    const evacuations = { version: 0, age: -1 };
    t.deepEqual(decoded._unsafeUnwrap(), { ...beat, evacuations });
  }
});

test("a heartbeat with any other number of leading numbers is unreadable", (t) => {
  const list = compact.toCompact(createMeshBeat()) ?? [];
  const counts = list.slice(12);
  for (const length of [8, 9, 11, 13, 14]) {
    const head = [...list.slice(0, 12), 1, 1].slice(0, length);
    for (const frame of [head, [...head, ...counts]]) {
      t.true(codec.decode(codec.encode(frame as never)).isErr());
    }
  }
});
