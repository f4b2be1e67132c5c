import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as chooseRunner from "./choose_runner.ts";

const test = ava.default;

const SLOTS = 7;

function viewOf(
  index: number,
  others: Partial<chooseRunner.RunnerView> = {},
): chooseRunner.RunnerView {
  return {
    identifier: `i-${index}`,
    outstanding: 0,
    slots: SLOTS,
    sameDataCentre: true,
    failureShare: 0,
    suspended: false,
    avoided: false,
    ...others,
  };
}

/**
 * Number of requests at each runner after `requests` more were sent on counts
 * that did not change.
 */
function sendOnStaleCounts(before: number[], requests: number): number[] {
  const random = new common.Random(7);
  const views = before.map((outstanding, index) =>
    viewOf(index, { outstanding }),
  );
  const after = [...before];
  for (let request = 0; request < requests; request++) {
    const chosen = chooseRunner.chooseRunner(views, random);
    after[views.findIndex((view) => view === chosen)]++;
  }
  return after;
}

// If all entries sent the requests of one heartbeat to the ranks that were
// emptiest in the last one, the queues of these would overflow. Callers would
// be refused or answered late although the group has room.
test("requests sent on the same outdated counts spread over the runners", (t) => {
  const before = Array.from({ length: 63 }, (_, index) => index % 5);
  const after = sendOnStaleCounts(before, 60);
  t.true(Math.max(...after) <= SLOTS + 1);
});

test("fuller runners get fewer requests", (t) => {
  const before = Array.from({ length: 60 }, (_, index) => (index < 30 ? 1 : 5));
  const after = sendOnStaleCounts(before, 600);
  const sent = (from: number, to: number) =>
    after
      .slice(from, to)
      .reduce((sum, count, index) => sum + count - before[from + index], 0);
  t.true(sent(0, 30) > 2 * sent(30, 60));
});

test("with few runners the least loaded one is always chosen", (t) => {
  const random = new common.Random(1);
  const views = [
    viewOf(0, { outstanding: 5 }),
    viewOf(1, { outstanding: 1 }),
    viewOf(2, { outstanding: 3 }),
  ];
  for (let request = 0; request < 50; request++) {
    t.is(chooseRunner.chooseRunner(views, random)?.identifier, "i-1");
  }
});

test("a suspended runner is chosen only if there is no other", (t) => {
  const random = new common.Random(1);
  const views = Array.from({ length: 12 }, (_, index) =>
    viewOf(index, { suspended: index !== 4, outstanding: index === 4 ? 9 : 0 }),
  );
  t.is(chooseRunner.chooseRunner(views, random)?.identifier, "i-4");
  const allSuspended = views.map((view) => ({ ...view, suspended: true }));
  t.truthy(chooseRunner.chooseRunner(allSuspended, random));
});

// A group of one slow rank would go on getting half of the requests, and each
// of these would be late although the other group has room.
test("slow runners are chosen only if all others are full", (t) => {
  const random = new common.Random(1);
  const chosenWith = (outstanding: number) =>
    Array.from({ length: 200 }, () => {
      const views = Array.from({ length: 16 }, (_, index) =>
        viewOf(index, index < 8 ? { avoided: true } : { outstanding }),
      );
      return chooseRunner.chooseRunner(views, random)?.avoided;
    });
  t.false(chosenWith(SLOTS - 1).includes(true));
  t.true(chosenWith(SLOTS).includes(true));
});

test("a slow runner is preferred to a suspended one", (t) => {
  const random = new common.Random(1);
  const views = [viewOf(0, { suspended: true }), viewOf(1, { avoided: true })];
  t.is(chooseRunner.chooseRunner(views, random)?.identifier, "i-1");
});

// The choices that were made before runners could be slow. A change to them in a
// service without slow runners would change the load of every deployment.
test("without slow runners the choices are those made before", (t) => {
  const random = new common.Random(3);
  const views = Array.from({ length: 16 }, (_, index) =>
    viewOf(index, {
      outstanding: index % 4,
      sameDataCentre: index % 3 === 0,
      failureShare: index === 5 ? 0.5 : 0,
      suspended: index === 7,
    }),
  );
  const chosen = Array.from({ length: 20 }, () => {
    const view = chooseRunner.chooseRunner(views, random);
    return view ? views.indexOf(view) : -1;
  });
  t.deepEqual(
    chosen,
    [4, 14, 0, 9, 4, 4, 13, 13, 12, 15, 13, 8, 4, 10, 2, 6, 0, 12, 4, 12],
  );
});
