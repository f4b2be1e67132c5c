import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as urgencyAdmission from "./urgency_admission.ts";
import type * as urgencyQueue from "./urgency_queue.ts";

const test = ava.default;

// Guards against waiting requests that nobody lets in any more after an exception, whose
// rejection nobody heard and which ended the process.
test("waiting requests are let in after an exception while they waited", async (t) => {
  const failed: unknown[] = [];
  const admission = new urgencyAdmission.UrgencyAdmission({
    configuration: {} as traffic.ProvenValue<traffic.TrafficConfiguration>,
    tracker: {
      availabilityChanged: new common.ChangeNotice(),
    } as unknown as urgencyAdmission.AdmissionTracker,
    entryCount: () => 1,
    metrics: common.discardMetrics(),
    onFailure: (cause) => failed.push(cause),
  });
  let letIn = () => {};
  const entered = new Promise<void>((resolve) => (letIn = resolve));
  let calls = 0;
  const queue = {
    length: 1,
    enter: () => entered,
    letIn: () => {
      if (++calls === 1) throw new Error("not let in");
      queue.length = 0;
      letIn();
    },
  };
  await admission.enter(
    queue as unknown as urgencyQueue.UrgencyQueue,
    {} as urgencyQueue.EnteringRequest,
  );
  t.is(failed.length, 1);
  t.is(calls, 2);
});
