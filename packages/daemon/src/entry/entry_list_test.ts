import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as entryList from "./entry_list.ts";

const test = ava.default;

function member(index: number): wire.Member {
  return {
    host: `entry-${index}`,
    incarnation: "",
    place: index % 2 === 0 ? "near" : "far",
    callerUrl: `http://entry-${index}`,
    peerUrl: "",
    state: wire.MemberState.Alive,
    counter: 1,
    revision: 1,
    weight: 1,
  };
}

function members(count: number): wire.Member[] {
  return Array.from({ length: count }, (_, index) => member(index));
}

/** First entries that an account's callers are told, over many calls. */
function firsts(
  all: wire.Member[],
  account: { name: string; share: number },
  isEvacuated: (place: string) => boolean = () => false,
): Map<string, number> {
  const random = new common.Random(1);
  const isNear = (host: string) => Number(host.split("-")[1]) % 2 === 0;
  const counts = new Map<string, number>();
  for (let call = 0; call < 400; call++) {
    const list = entryList.entryList({
      members: all,
      account,
      isEvacuated,
      isNear,
      random,
    });
    const [{ url }] = list.entries;
    counts.set(url, (counts.get(url) ?? 0) + 1);
  }
  return counts;
}

test("among few entries callers spread over all", (t) => {
  t.is(firsts(members(7), { name: "a", share: 0.01 }).size, 7);
});

test("among many entries a small account has one near home", (t) => {
  const all = members(100);
  const first = firsts(all, { name: "a", share: 0.0001 });
  t.is(first.size, 1);
  const [[home]] = first;
  t.is(all.find(({ callerUrl }) => callerUrl === home)?.place, "near");
});

test("among many entries a large account has as many as it needs", (t) => {
  const { size } = firsts(members(100), { name: "a", share: 0.1 });
  t.is(size, 10);
});

// The home is taken out. Its accounts are told the next one, and the others'
// lists stay as they were.
test("a home that drains is left out", (t) => {
  const all = members(100);
  const account = { name: "a", share: 0.0001 };
  const [[home]] = firsts(all, account);
  const open = all.map((one) =>
    one.callerUrl === home ? { ...one, state: wire.MemberState.Draining } : one,
  );
  const [[next]] = firsts(open, account);
  t.not(next, home);
});

// Guards against callers that are sent to a data centre which is about to go.
test("entries in evacuated data centres are left out while there are others", (t) => {
  const all = members(7);
  const account = { name: "a", share: 0.1 };
  const far = firsts(all, account, (place) => place === "near");
  const places = new Map(all.map((one) => [one.callerUrl, one.place]));
  t.deepEqual(
    [...far.keys()].map((url) => places.get(url)),
    ["far", "far", "far"],
  );
  t.is(firsts(all, account, () => true).size, 7);
});
