import * as ava from "ava";
import * as watchedRequests from "./watched_requests.ts";

const test = ava.default;

function requestOf(stop = () => {}): watchedRequests.WatchedRequest {
  return { service: "s", fingerprint: "f", stop };
}

test("all requests under way with the same fingerprint and service are stopped", (t) => {
  const watched = new watchedRequests.WatchedRequests();
  let stopped = 0;
  const unwatch = [1, 2, 3].map(() =>
    watched.watch(requestOf(() => stopped++)),
  );
  watched.watch({ ...requestOf(() => t.fail()), fingerprint: "g" });
  watched.watch({ ...requestOf(() => t.fail()), service: "other" });
  unwatch[0]();
  watched.stop("s", "f");
  t.is(stopped, 2);
});

// If a trial's runner has no room, each request that arrives would otherwise
// start another trial, and each trial reaches a runner.
test("a trial without a result is not followed by another at once", (t) => {
  const watched = new watchedRequests.WatchedRequests();
  const request = requestOf();
  const unwatch = watched.watch(request);
  watched.startTrial(request);
  t.true(watched.isTrialRequest(request));
  t.false(watched.isTrialRequest(requestOf()));
  unwatch();
  t.true(watched.hasTrial("f"));
  t.false(watched.hasTrial("g"));
  watched.forgetTrial("f");
  t.false(watched.hasTrial("f"));
});
