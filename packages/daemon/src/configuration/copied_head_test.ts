import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as configurationKeeper from "./configuration_keeper.ts";
import * as copiedHead from "./copied_head.ts";

const test = ava.default;

interface Scene {
  head: copiedHead.CopiedHead;
  epoch: backingServices.TableEpoch;
}

/** A process that holds a revision, or none, beside a table in its second epoch. */
function createScene(
  held: { revision: number; behind?: boolean },
  sawBegin: boolean,
): Scene {
  const epoch = new backingServices.TableEpoch(new common.RecordingLogger());
  if (sawBegin) epoch.note("1", common.now());
  epoch.note("2", common.now());
  const keeper = {
    behind: false,
    ...held,
  } as configurationKeeper.ConfigurationKeeper;
  const parameters = { epoch, keeper, isOwner: () => true };
  return { head: new copiedHead.CopiedHead(parameters), epoch };
}

// It would serve a configuration that was replaced, until the others have told.
test("a process that holds nothing waits before it takes a head from a copy", (t) => {
  const { head } = createScene({ revision: 0 }, false);
  t.false(head.mayAdopt(1));
  t.true(head.mayAdopt(2));
});

test("a process that holds a configuration goes by the revision", (t) => {
  const { head } = createScene({ revision: 7 }, false);
  t.true(head.mayAdopt(1));
});

// It holds what the copy had, and would put that above what was accepted since.
test("a process that was not there before the return writes nothing again at once", (t) => {
  const { head } = createScene({ revision: 7 }, false);
  t.false(head.mayRestore(1));
});

test("a process that was there writes again what is in force, unless it is behind", (t) => {
  t.true(createScene({ revision: 7 }, true).head.mayRestore(1));
  t.false(createScene({ revision: 7 }, true).head.mayRestore(2));
  const behind = createScene({ revision: 7, behind: true }, true);
  t.false(behind.head.mayRestore(1));
});
