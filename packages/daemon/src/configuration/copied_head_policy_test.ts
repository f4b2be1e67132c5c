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

/** A process that holds a revision, or none, beside a table in its second epoch. */
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

// It would serve a configuration that was replaced, until the others have told.
test("a process that holds nothing waits before it takes a head from a copy", (t) => {
  const { policy: head } = createScene({ revision: 0 }, false);
  t.false(head.mayAdopt(1));
  t.true(head.mayAdopt(2));
});

test("a process that holds a configuration goes by the revision", (t) => {
  const { policy: head } = createScene({ revision: 7 }, false);
  t.true(head.mayAdopt(1));
});

// It holds what the copy had, and would put that above what was accepted since.
test("a process that was not there before the return writes nothing again at once", (t) => {
  const { policy: head } = createScene({ revision: 7 }, false);
  t.false(head.mayRestore(1));
});

test("a process that was there writes again what is in force, unless it is behind", (t) => {
  t.true(createScene({ revision: 7 }, true).policy.mayRestore(1));
  t.false(createScene({ revision: 7 }, true).policy.mayRestore(2));
  const behind = createScene({ revision: 7, behind: true }, true);
  t.false(behind.policy.mayRestore(1));
});
