import * as common from "@geraniumkeel/common";
import * as zod from "zod";

const COUNT = zod.number().min(0);
const PART = zod.object({
  requests: zod.array(zod.string()),
  begun: zod.array(zod.string()),
  frequency: zod.object({ count: COUNT, of: COUNT }),
});

const CRASH = zod.object({
  /** Identifies the incarnation of the runner that crashed. */
  life: zod.string(),
  runner: zod.string(),
  service: zod.string(),
  version: zod.string(),
  /**
   * When the runner crashed, in milliseconds since the Unix epoch: a time of a
   * monotonic clock means nothing to another process.
   */
  endedAt: zod.number(),
  /** Milliseconds from the start of the run to the crash. */
  ranFor: zod.number(),
  /** Hosts of the entries that saw the crash. */
  seenBy: zod.array(zod.string()),
  /** What was seen of the part; not there for a whole request. */
  part: PART.optional(),
});

/** The crashes of runners that the row of a request stores. */
export const STORED_CRASHES = common.listOf(CRASH);

/** One crash of a runner, as the row of a request stores it. */
export type StoredCrash = zod.infer<typeof CRASH>;
