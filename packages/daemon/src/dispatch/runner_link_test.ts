import * as http from "node:http";
import type * as net from "node:net";
import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as listen from "../settings/listen.ts";
import * as settings from "../settings/settings.ts";
import * as runnerLink from "./runner_link.ts";

const test = ava.default;

const KEY = "key-of-processes";
const SETTLE_AFTER_MILLISECONDS = 400;
const CONDITION_TIMEOUT_MILLISECONDS = 5_000;

const TIMING = settings.TIMING.parse({
  settleAfter: SETTLE_AFTER_MILLISECONDS,
});

async function until(condition: () => boolean): Promise<void> {
  const latest = common.now() + CONDITION_TIMEOUT_MILLISECONDS;
  while (!condition()) {
    if (common.now() > latest) throw new Error("condition not met in time");
    await common.sleep(5);
  }
}

/** An upstream process that says hello on each link and nothing more. */
async function startUpstream(
  t: ava.ExecutionContext,
): Promise<{ host: backingServices.Host; links: wire.Link[] }> {
  const server = http.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const links: wire.Link[] = [];
  const accepting = wire.acceptLinks({
    server,
    path: listen.LINK_PATH,
    key: KEY,
    timing: TIMING,
    heartbeat: () => ({ clock: common.now(), revision: 0 }),
    onLink: (link) => {
      links.push(link);
      link.send(helloOfUpstream());
    },
  });
  t.teardown(() => accepting.close());
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const host: backingServices.Host = {
    name: "upstream-one",
    role: backingServices.HostRole.Upstream,
    place: "p",
    region: "r",
    state: backingServices.HostState.Live,
    linkUrl: `http://127.0.0.1:${port}`,
    callerUrl: "",
    service: "plain",
    group: "",
  };
  return { host, links };
}

function helloOfUpstream(): wire.Hello {
  return {
    kind: wire.MessageKind.Hello,
    role: wire.PeerRole.Upstream,
    host: "upstream-one",
    place: "p",
    incarnation: "upstream-incarnation",
    linkNumber: 1,
    revision: 0,
    clock: common.now(),
    service: "plain",
    group: "",
    rank: 0,
    groupSize: 0,
    leaving: false,
  };
}

/** Tells when a link was lost. */
class LinkLossLogger extends common.RecordingLogger {
  readonly lost: Promise<void>;
  #noteLost = () => {};

  constructor() {
    super();
    this.lost = new Promise((resolve) => (this.#noteLost = resolve));
  }

  override event(
    code: common.EventCode,
    fields: common.EventFields = {},
  ): void {
    super.event(code, fields);
    if (code === common.EventCode.LinkLost) this.#noteLost();
  }
}

function createRunnerLink(
  host: backingServices.Host,
  change: Partial<runnerLink.RunnerLinkParameters> = {},
): runnerLink.RunnerLink {
  return new runnerLink.RunnerLink(host, {
    settings: settings.ENTRY_SETTINGS.parse({
      role: settings.Role.Entry,
      host: "entry-one",
      place: "p",
      region: "r",
      processKey: KEY,
      platform: { url: "http://127.0.0.1:1" },
      listen: {
        callers: { port: 1 },
        links: { port: 2 },
        operators: { port: 3 },
      },
      timing: { settleAfter: SETTLE_AFTER_MILLISECONDS },
    }),
    incarnation: "entry-incarnation",
    logger: new common.RecordingLogger(),
    metrics: common.discardMetrics(),
    random: new common.Random(1),
    certificateAuthority: undefined,
    revision: () => 0,
    onLoad: () => {},
    onCacheEvents: () => {},
    onLinked: () => {},
    ...change,
  });
}

// An entry is busy or suspended just after the link to a runner was lost. Its
// timers run before it reads that the next link is there, so it gave up the
// attempts at that runner, and callers lost answers that were to go on.
test("attempts go on over the next link if the event loop is held up meanwhile", async (t) => {
  const { host, links } = await startUpstream(t);
  const logger = new LinkLossLogger();
  const runner = createRunnerLink(host, { logger });
  const stop = new AbortController();
  const running = runner.run(stop.signal);
  t.teardown(() => running);
  t.teardown(() => stop.abort());
  await until(() => runner.linked);
  const attempt = runner.newAttempt("q/1");
  if (!attempt) return t.fail("no link");
  const outgoing = runner.collect(attempt, 1);
  links[0].close();
  // By the event: the next link opens within milliseconds, and polling misses
  // the time between the two.
  await logger.lost;
  t.false(runner.linked);
  const end = common.now() + 2 * SETTLE_AFTER_MILLISECONDS;
  while (common.now() < end);
  await until(() => runner.linked);
  t.is(outgoing.events.size, 0);
});

test("attempts are given up after a while without a link", async (t) => {
  const { host, links } = await startUpstream(t);
  const runner = createRunnerLink({ ...host });
  const stop = new AbortController();
  const running = runner.run(stop.signal);
  t.teardown(() => running);
  t.teardown(() => stop.abort());
  await until(() => runner.linked);
  const attempt = runner.newAttempt("q/1");
  if (!attempt) return t.fail("no link");
  const outgoing = runner.collect(attempt, 1);
  Object.assign(runner.host, { linkUrl: "http://127.0.0.1:1" });
  links[0].close();
  await until(() => !runner.linked);
  const lostAt = common.now();
  await until(() => outgoing.events.size === 1);
  t.true(common.now() - lostAt > 0.8 * SETTLE_AFTER_MILLISECONDS);
});

// Guards against requests that are sent on a link which nobody reads any more, after a
// message on it could not be handled: they would wait until their deadlines.
test("a link is closed and used no more after a message that can't be handled", async (t) => {
  const { host, links } = await startUpstream(t);
  const runner = createRunnerLink(host, {
    onLoad: () => {
      throw new Error("no room");
    },
  });
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const running = runner.run(stop.signal);
  await until(() => runner.linked);
  links[0].send({
    kind: wire.MessageKind.Load,
    load: wire.idleLoad(),
    dispatches: 0,
    clock: 0,
  });
  await t.throwsAsync(running, { message: "no room" });
  t.false(runner.linked);
  t.is(runner.newAttempt("one"), undefined);
  await until(() => links[0].end !== undefined);
  // Its task is started again by its owner, and the link is made anew.
  void runner.run(stop.signal);
  await until(() => runner.linked);
  t.is(links.length, 2);
});
