import * as ava from "ava";
import type * as rankHandle from "./rank_handle.ts";
import * as recoverSwitch from "./recover_switch.ts";

const test = ava.default;

const RANKS = 96;
/** Questions that a small host gets answered in good time. */
const MAX_AT_ONCE = 32;

/** Ranks of a group without a switch, and how many are asked at once at most. */
function createRanks(): {
  handles: rankHandle.RankHandle[];
  mostAtOnce: () => number;
} {
  let asked = 0;
  let most = 0;
  const refresh = async () => {
    most = Math.max(most, ++asked);
    await new Promise((resolve) => setImmediate(resolve));
    asked--;
    return true;
  };
  const order = () => Promise.reject(new Error("no order is due"));
  const handles = Array.from({ length: RANKS }, (_, rank) => {
    const status = undefined;
    return { rank, status, refresh, order, orderDirectly: order };
  });
  return { handles, mostAtOnce: () => most };
}

// Guards against a group that stands still: asked all at once, the ranks of a large group
// did not answer a small host in time, and the recovery of a switch began again and again.
test("a recovery asks a limited number of ranks at once", async (t) => {
  const { handles, mostAtOnce } = createRanks();
  const { kind } = await recoverSwitch.recoverSwitch({
    handles,
    valid: () => true,
    pause: async () => {},
    holdNotices: [],
    fallback: async () => undefined,
  });
  t.is(kind, recoverSwitch.SwitchRecoveryKind.Nothing);
  t.true(mostAtOnce() <= MAX_AT_ONCE, `${mostAtOnce()} at once`);
});
