import * as ava from "ava";
import * as returnPacing from "./return_pacing.ts";

const test = ava.default;

const QUEUE = { queueMilliseconds: 1_000, requestsPerMillisecond: 0.1 };

test("refused callers come back one after the other, after the queue", (t) => {
  const pacing = new returnPacing.ReturnPacing(() => 0);
  const times = [1, 2, 3].map(() => pacing.next(QUEUE));
  t.deepEqual(times, [1_000, 1_010, 1_020]);
});

test("times that have passed are not given again", (t) => {
  let now = 0;
  const pacing = new returnPacing.ReturnPacing(() => now);
  pacing.next(QUEUE);
  now = 5_000;
  t.is(pacing.next(QUEUE), 1_000);
});

test("nobody is sent away for longer than three seconds", (t) => {
  const pacing = new returnPacing.ReturnPacing(() => 0);
  const queue = { ...QUEUE, queueMilliseconds: 3_600_000 };
  t.is(pacing.next(queue), 3_000);
});
