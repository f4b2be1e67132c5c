import * as http from "node:http";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as entryMesh from "@geraniumkeel/daemon/mesh/entry_mesh";
import * as listen from "@geraniumkeel/daemon/settings/listen";
import * as wire from "@geraniumkeel/wire";
import * as rankGroupStandIn from "../rank_group_stand_in.ts";
import * as rankProcesses from "../testing/rank_processes.ts";

const test = ava.default;

const RANKS = 2;
const WOKEN = 0;
const SUCCESSOR = 1;
/** Above any token that the woken process takes by its clock. */
const HIGHER_TOKEN = 2 ** 50;
/** Time that the successor takes to link with the host that was away. */
const RELINK_MILLISECONDS = 1_000;
const BEAT_MILLISECONDS = 50;
const BEATS = 10;
const PATIENCE_MILLISECONDS = 20_000;

/** The process that leads in place of the woken one; counts the beats it sent there. */
async function startSuccessor(
  t: ava.ExecutionContext,
  epoch: number,
  linkPort: number,
): Promise<() => number> {
  let beats = 0;
  let relinking: NodeJS.Timeout | undefined;
  const server = http.createServer();
  const accepting = wire.acceptLinks({
    server,
    path: listen.LINK_PATH,
    key: entryMesh.LINK_KEY,
    timing: entryMesh.LINK_TIMING,
    heartbeat: entryMesh.emptyHeartbeat,
    onLink: (link) => {
      const identity = { group: "g", epoch, rank: SUCCESSOR, size: RANKS };
      const kind = wire.MessageKind.RankHello;
      link.send({ kind, host: "successor", identity, token: HIGHER_TOKEN });
      relinking ??= setTimeout(() => void lead(), RELINK_MILLISECONDS);
    },
  });
  const lead = async () => {
    const link = await rankProcesses.dialRank(WOKEN, linkPort);
    const timer = setInterval(() => {
      const kind = wire.MessageKind.LeaderHeartbeat;
      const countMilliseconds = 0;
      const token = HIGHER_TOKEN;
      link.send({ kind, token, group: "g", epoch, countMilliseconds });
      beats++;
    }, BEAT_MILLISECONDS);
    t.teardown(() => clearInterval(timer));
    t.teardown(() => link.close());
  };
  await new Promise<void>((resolve) =>
    server.listen(linkPort, rankProcesses.addressOf(SUCCESSOR), () =>
      resolve(),
    ),
  );
  t.teardown(() => clearTimeout(relinking));
  t.teardown(() => accepting.close());
  t.teardown(() => void server.close());
  return () => beats;
}

// Streams wait a second longer for the map that fits demand. A process wakes from a
// freeze and hears that it was succeeded; its successor's link to it is still being
// dialled. Taking that for another silent leader, it takes the lead back, and the switch
// that its successor had begun is lost.
test("a leader that was succeeded while it was frozen does not take the lead back", async (t) => {
  const group = new rankGroupStandIn.RankGroupStandIn(RANKS);
  const lifeCycle = new common.LifeCycle("test");
  t.teardown(() => lifeCycle.close());
  const linkPort = await rankProcesses.freeLinkPort();
  const { epoch } = group.status(WOKEN);
  const beatsSent = await startSuccessor(t, epoch, linkPort);
  const logger = new common.RecordingLogger();
  await rankProcesses.startRankProcess({
    group,
    rank: WOKEN,
    linkPort,
    lifeCycle,
    store: rankProcesses.StoreState.Answers,
    logger,
  });
  const notice = new common.ChangeNotice();
  const look = setInterval(() => notice.announce(), BEAT_MILLISECONDS);
  t.teardown(() => clearInterval(look));
  const followed = await notice.until({
    condition: () => beatsSent() >= BEATS,
    timeoutMilliseconds: PATIENCE_MILLISECONDS,
  });
  t.true(followed);
  const terms = logger.events.filter(
    ({ code, fields }) =>
      code === common.EventCode.CoordinatorChanged && fields.leads === true,
  );
  t.is(terms.length, 1);
});
