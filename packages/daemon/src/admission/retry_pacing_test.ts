import * as ava from "ava";
import * as retryPacing from "./retry_pacing.ts";

const test = ava.default;

const QUEUE = { queueMilliseconds: 1_000, requestsPerMillisecond: 0.1 };

test("retries are spaced by the service rate and begin after the queue", (t) => {
  const pacing = new retryPacing.RetryPacing(() => 0);
  const delays = [1, 2, 3].map(() => pacing.nextDelayMilliseconds(QUEUE));
  t.deepEqual(delays, [1_000, 1_010, 1_020]);
});

test("a time to retry that has passed is not given to a later caller", (t) => {
  let now = 0;
  const pacing = new retryPacing.RetryPacing(() => now);
  pacing.nextDelayMilliseconds(QUEUE);
  now = 5_000;
  t.is(pacing.nextDelayMilliseconds(QUEUE), 1_000);
});

test("no caller gets a delay of more than three seconds", (t) => {
  const pacing = new retryPacing.RetryPacing(() => 0);
  const queue = { ...QUEUE, queueMilliseconds: 3_600_000 };
  t.is(pacing.nextDelayMilliseconds(queue), 3_000);
});
