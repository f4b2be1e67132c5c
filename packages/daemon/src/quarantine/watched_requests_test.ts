import * as ava from "ava";
import * as watchedRequests from "./watched_requests.ts";

const test = ava.default;

function requestOf(stop = () => {}): watchedRequests.WatchedRequest {
  return { service: "s", fingerprint: "f", promptParts: [], stop };
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

// A trial ends without a result if its runner has no room or its caller
// disconnects. Without a pause, each request with the fingerprint that arrives
// would then start another trial and so be sent to a runner. Here `unwatch`
// ends the trial, which still counts for 10 s from its start unless it is
// forgotten. Only the request object that started the trial is its request.
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
