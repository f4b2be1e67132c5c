import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as rankGroupStandIn from "../rank_group_stand_in.ts";
import * as rankProcesses from "../testing/rank_processes.ts";

const test = ava.default;

const RANKS = 3;
const LOOK_MILLISECONDS = 10;
const PATIENCE_MILLISECONDS = 20_000;
/** Silence that makes a rank lead; without the safeguard this passes first. */
const SILENCE_MILLISECONDS = 700;

// After an outage callers wait in a backlog, and their streams stall: the group
// begins anew with its first map, whose slowest rank holds all others back. The
// process that led the group sees it formed anew, and leads it again at once.
test("a group that is formed anew is led without waiting for silence", async (t) => {
  const group = new rankGroupStandIn.RankGroupStandIn(RANKS);
  const lifeCycle = new common.LifeCycle("test");
  t.teardown(() => lifeCycle.close());
  const linkPort = await rankProcesses.freeLinkPort();
  const loggers = await Promise.all(
    Array.from({ length: RANKS }, async (_, rank) => {
      const logger = new common.RecordingLogger();
      await rankProcesses.startRankProcess({
        group,
        rank,
        linkPort,
        lifeCycle,
        store: rankProcesses.StoreState.Answers,
        logger,
      });
      return logger;
    }),
  );
  const terms = () =>
    loggers
      .flatMap(({ events }) => events)
      .filter(({ code }) => code === common.EventCode.CoordinatorChanged);
  const notice = new common.ChangeNotice();
  const look = setInterval(() => notice.announce(), LOOK_MILLISECONDS);
  t.teardown(() => clearInterval(look));
  const until = (condition: () => boolean) =>
    notice.until({ condition, timeoutMilliseconds: PATIENCE_MILLISECONDS });

  t.true(
    await until(() => terms().some(({ fields }) => fields.leads === true)),
  );
  group.formAnew();
  t.true(
    await until(() => terms().some(({ fields }) => fields.leads === false)),
  );
  const endedAt = common.now();
  t.true(await until(() => terms().some(({ fields }) => fields.epoch === 2)));
  const pause = common.now() - endedAt;
  t.true(pause < SILENCE_MILLISECONDS, `${pause} ms`);
});
