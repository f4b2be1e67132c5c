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
 * A process with a revision in force, or none, and a table in its second epoch.
 */
function createScene(
  state: { revision: number; behind?: boolean },
  sawBegin: boolean,
): Scene {
  const epoch = new backingServices.TableEpoch(new common.RecordingLogger());
  if (sawBegin) epoch.note("1", common.now());
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
test("a process without a configuration waits before it adopts a head from a copy", (t) => {
  const { policy } = createScene({ revision: 0 }, false);
  t.false(policy.mayAdopt(1));
  t.true(policy.mayAdopt(2));
});

test("a process with a configuration may adopt a head from a copy at once", (t) => {
  const { policy } = createScene({ revision: 7 }, false);
  t.true(policy.mayAdopt(1));
});

// Such a process has the configuration of the copy in force. Written again, it
// would replace changes that were accepted after the copy was made.
test("a process that started in the new epoch does not restore its head at once", (t) => {
  const { policy } = createScene({ revision: 7 }, false);
  t.false(policy.mayRestore(1));
});

test("a process from before the epoch restores its head unless it is behind", (t) => {
  t.true(createScene({ revision: 7 }, true).policy.mayRestore(1));
  t.false(createScene({ revision: 7 }, true).policy.mayRestore(2));
  const behind = createScene({ revision: 7, behind: true }, true);
  t.false(behind.policy.mayRestore(1));
});
