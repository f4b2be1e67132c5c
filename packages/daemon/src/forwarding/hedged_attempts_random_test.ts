import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

const EVENTS = 8;
const REQUESTS = 40;
const RUNNERS = 60;
/** Longest time for which a request waits at a runner before it has its turn. */
const MAX_TURN_MILLISECONDS = 400;
const MOST_ATTEMPTS = 3;
/** How the runners of a test behave. */
interface World {
  name: string;
  seed: number;
  /** Share of the first attempts, and of later ones, that are refused. */
  firstRefused: number;
  laterRefused: number;
  /** Share of the steps after which a runner sends nothing more. */
  noMore: number;
  /** Share of the steps after which a runner breaks its answer off. */
  breakOff: number;
  retries: number;
  /** Whether attempts of all ends are certain to come in it. */
  showsAllEnds: boolean;
}

const UNSTEADY = {
  name: "runners that fall silent, refuse and break off",
  firstRefused: 0.25,
  laterRefused: 0.25,
  noMore: 0.04,
  breakOff: 0.04,
  retries: 60,
  showsAllEnds: true,
};
const FULL = {
  name: "runners that only fall silent beside full ones",
  firstRefused: 0,
  laterRefused: 0.75,
  noMore: 0,
  breakOff: 0,
  retries: 20,
  showsAllEnds: false,
};
const WORLDS: World[] = [
  { ...UNSTEADY, seed: 1 },
  { ...UNSTEADY, seed: 2 },
  { ...FULL, seed: 1 },
  { ...FULL, seed: 2 },
];

/** What a simulated runner does next with a call. */
enum Step {
  Event,
  PartOfEvent,
  LongSilence,
  NoMore,
  BreakOff,
}

const PART_OF_EVENT = 0.06;
const LONG_SILENCE = 0.14;

function drawStep(world: World, random: common.Random): Step {
  const steps: [Step, number][] = [
    [Step.PartOfEvent, PART_OF_EVENT],
    [Step.LongSilence, LONG_SILENCE],
    [Step.NoMore, world.noMore],
    [Step.BreakOff, world.breakOff],
  ];
  let left = random.between(0, 1);
  for (const [step, weight] of steps) {
    left -= weight;
    if (left < 0) return step;
  }
  return Step.Event;
}

/** Answers one call by chance, as runners do. */
async function runCall(
  stepped: forwardingFixture.SteppedCall,
  isFirst: boolean,
  world: World,
  random: common.Random,
): Promise<void> {
  const refused = isFirst ? world.firstRefused : world.laterRefused;
  await common.sleep(random.between(0, MAX_TURN_MILLISECONDS));
  if (random.between(0, 1) < refused) return stepped.refuse();
  stepped.begin();
  let next = Number(stepped.call.resumeAfter || 0) + 1;
  while (next <= EVENTS && !stepped.aborted) {
    const text = forwardingFixture.eventText(next);
    switch (drawStep(world, random)) {
      case Step.Event:
        stepped.send(text);
        next++;
        break;
      case Step.PartOfEvent:
        stepped.send(text.slice(0, 4));
        await common.sleep(random.between(0, 800));
        stepped.send(text.slice(4));
        next++;
        break;
      case Step.LongSilence:
        await common.sleep(random.between(400, 1_400));
        break;
      case Step.NoMore:
        return;
      case Step.BreakOff:
        return stepped.breakOff();
    }
    await common.sleep(random.between(0, 40));
  }
  stepped.end();
}

// A caller's stream may be carried on by another runner while the first is
// silent, and both may go on at the same moment. An event that is missing,
// comes twice or is cut in two, a run too many, and a call that nobody ends are
// what can go wrong between them.
for (const world of WORLDS) {
  const { name, seed } = world;
  test(`streams are whole, in order and run seldom enough over ${name}, seed ${seed}`, async (t) => {
    const random = new common.Random(seed);
    const begun = new Set<string>();
    const entry = new forwardingFixture.SteppedEntry({
      route: { mostAttempts: MOST_ATTEMPTS, timeoutMilliseconds: 4_000 },
      runners: Array.from({ length: RUNNERS }, (_, index) => `i-${index}`),
      retries: world.retries,
      onCall: (call) => {
        const { identifier } = call.call.request;
        void runCall(call, !begun.has(identifier), world, random);
        begun.add(identifier);
      },
    });
    const requests: forwardingFixture.SentRequest[] = [];
    for (let index = 0; index < REQUESTS; index++) {
      requests.push(entry.send(`q-${index}`));
      await common.sleep(random.between(0, 10));
    }
    await Promise.all(requests.map(({ finished }) => finished));
    const all = Array.from({ length: EVENTS }, (_, index) =>
      forwardingFixture.eventText(index + 1),
    ).join("");
    const ends = requests.map((_, index) => entry.endOf(`q-${index}`));
    const attemptEnds = requests.flatMap((_, index) =>
      entry.attemptEnds(`q-${index}`),
    );
    const counted = new Map<string, number>();
    for (const end of attemptEnds)
      counted.set(end, (counted.get(end) ?? 0) + 1);
    t.log([...counted].map(([end, count]) => `${end} ${count}`).join(", "));
    for (const { text, ended, calls } of requests) {
      t.true(all.startsWith(text), text);
      if (ended === "whole") t.is(text, all);
      else t.not(ended, "");
      const ran = calls.filter(({ refused }) => !refused);
      t.true(ran.length <= MOST_ATTEMPTS);
      t.true(calls.every(({ aborted, finished }) => aborted || finished));
    }
    t.deepEqual(entry.tracker.ownCounts(), []);
    const attempts = requests.flatMap(({ calls }) => calls).length;
    t.true(attempts <= REQUESTS + world.retries);
    // Runners that only fall silent are no reason for any end but the time-out.
    const allowed = ["answered", "timed-out"];
    if (world.breakOff > 0) allowed.push("broken", "unknown", "not-run");
    t.deepEqual(
      ends.filter((end) => !allowed.includes(end)),
      [],
    );
    if (!world.showsAllEnds) return;
    for (const end of ["answered", "stalled", "superseded", "not-run"])
      t.true(attemptEnds.includes(end), end);
  });
}
