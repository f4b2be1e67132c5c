import * as ava from "ava";
import * as retryPacing from "./retry_pacing.ts";

const test = ava.default;

const QUEUE = { queueMilliseconds: 1_000, requestsPerMillisecond: 0.1 };

test("retries are spaced by the admission rate and begin once the queue is empty", (t) => {
  const pacing = new retryPacing.RetryPacing(() => 0);
  const delays = [1, 2, 3].map(() => pacing.nextDelayMilliseconds(QUEUE));
  t.deepEqual(delays, [1_000, 1_010, 1_020]);
});

// Spaced from the last retry time, this caller would retry at 1,010 ms, which
// has passed. It gets the time that the queue takes from now on.
test("after a pause the spacing of retries starts again from now", (t) => {
  let now = 0;
  const pacing = new retryPacing.RetryPacing(() => now);
  pacing.nextDelayMilliseconds(QUEUE);
  now = 5_000;
  t.is(pacing.nextDelayMilliseconds(QUEUE), 1_000);
});

// The measured rate may still be that of a quiet time before a surge; longer
// delays by this rate would leave runners idle.
test("no caller gets a delay of more than three seconds", (t) => {
  const pacing = new retryPacing.RetryPacing(() => 0);
  const queue = { ...QUEUE, queueMilliseconds: 3_600_000 };
  t.is(pacing.nextDelayMilliseconds(queue), 3_000);
});
