import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as epochConfirmation from "@geraniumkeel/daemon/gateway/epoch_confirmation";
import * as memberRows from "@geraniumkeel/daemon/mesh/member_rows";
import * as tableService from "../gateways/table_service.ts";
import * as tableData from "../table_data.ts";

const test = ava.default;

const WAIT_MILLISECONDS = 400;

interface Scene {
  confirmation: epochConfirmation.EpochConfirmation;
  rows: memberRows.MemberRows;
  logger: common.RecordingLogger;
  held: { version: number };
  served: { version: number | undefined };
}

/** A process that starts beside a table which came back once, unconfirmed. */
async function createScene(
  t: ava.ExecutionContext,
  isOwner = false,
): Promise<Scene> {
  const data = new tableData.TableData();
  const logger = new common.RecordingLogger();
  const createRows = () =>
    new memberRows.MemberRows(
      tableService.createTable(data),
      logger,
      common.discardMetrics(),
    );
  const first = createRows();
  await first.confirmEpoch(1);
  data.comeBackFrom(data.copy());
  const rows = createRows();
  const held = { version: 4 };
  const served: Scene["served"] = { version: undefined };
  const confirmation = new epochConfirmation.EpochConfirmation({
    rows,
    currentVersion: () => held.version,
    latestReading: () => ({ epoch: rows.epoch.number, version: held.version }),
    lowestServedVersion: () => served.version,
    isConfirmer: () => isOwner,
    logger,
  });
  await rows.read();
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void confirmation.run(stop.signal);
  return { confirmation, rows, logger, held, served };
}

async function isTrustedSoon({ confirmation }: Scene): Promise<boolean> {
  const deadline = common.now() + WAIT_MILLISECONDS;
  while (!confirmation.trusted && common.now() < deadline) {
    await common.sleep(5);
  }
  return confirmation.trusted;
}

// It would serve keys that were taken away in the seconds that the table has lost.
test("a configuration in an epoch that nobody confirmed is not served", async (t) => {
  const scene = await createScene(t);
  t.false(await isTrustedSoon(scene));
});

test("it is served once an entry that serves knows no newer one", async (t) => {
  const scene = await createScene(t);
  scene.served.version = 5;
  t.false(await isTrustedSoon(scene));
  scene.held.version = 5;
  t.true(await isTrustedSoon(scene));
});

test("it is served once the operator has written again", async (t) => {
  const scene = await createScene(t);
  t.false(await isTrustedSoon(scene));
  scene.held.version = 5;
  t.true(await isTrustedSoon(scene));
});

test("it is served once somebody has confirmed the epoch", async (t) => {
  const scene = await createScene(t);
  t.false(await isTrustedSoon(scene));
  await scene.rows.confirmEpoch(2);
  t.true(await isTrustedSoon(scene));
});

// Without anybody who knows more nobody would ever be served again.
test("it is served after a while in any case, which is told", async (t) => {
  const scene = await createScene(t);
  while (!scene.confirmation.trusted) await common.sleep(20);
  t.deepEqual(
    scene.logger.events.map(({ code }) => code),
    [common.EventCode.TableEpochDoubtful],
  );
});
