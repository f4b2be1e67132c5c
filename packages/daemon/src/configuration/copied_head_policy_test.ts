import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as configurationHolder from "./configuration_holder.ts";
import * as copiedHeadPolicy from "./copied_head_policy.ts";

const test = ava.default;

interface Scene {
  policy: copiedHeadPolicy.CopiedHeadPolicy;
  epoch: backingServices.TableEpoch;
}

/**
 * A process, and a table that was restored from a copy and so is in epoch 2. A
 * head written in epoch 1 comes from the copy. `revision` is that of the
 * configuration in force in the process, 0 if it has none; `behind` says that
 * another process has a newer one. `sawEpochBegin` says that the process was
 * running when epoch 2 began. The process is the one whose task it is to
 * rewrite the head.
 */
function createScene(
  state: { revision: number; behind?: boolean },
  sawEpochBegin: boolean,
): Scene {
  const epoch = new backingServices.TableEpoch(new common.RecordingLogger());
  if (sawEpochBegin) epoch.note("1", common.now());
  epoch.note("2", common.now());
  const currentConfiguration = {
    behind: false,
    ...state,
  } as configurationHolder.ConfigurationHolder;
  const parameters = {
    epoch,
    currentConfiguration,
    isOwner: () => true,
  };
  return { policy: new copiedHeadPolicy.CopiedHeadPolicy(parameters), epoch };
}

// Without the wait, the process would serve a replaced configuration until its
// peers sent it the newer one.
test("a process without a configuration at first adopts only a head of the current epoch", (t) => {
  const { policy } = createScene({ revision: 0 }, false);
  t.false(policy.mayAdopt(1));
  t.true(policy.mayAdopt(2));
});

test("a process with a configuration may adopt a head of an earlier epoch at once", (t) => {
  const { policy } = createScene({ revision: 7 }, false);
  t.true(policy.mayAdopt(1));
});

// Such a process may have read its configuration from the copy. If it rewrote
// the head with that, it would replace changes that were accepted after the
// copy was made.
test("a process that started after the epoch began does not rewrite an earlier head at once", (t) => {
  const { policy } = createScene({ revision: 7 }, false);
  t.false(policy.mustRewrite(1));
});

test("a process that saw the epoch begin rewrites only an earlier head, and only with the newest configuration", (t) => {
  t.true(createScene({ revision: 7 }, true).policy.mustRewrite(1));
  t.false(createScene({ revision: 7 }, true).policy.mustRewrite(2));
  const behind = createScene({ revision: 7, behind: true }, true);
  t.false(behind.policy.mustRewrite(1));
});
