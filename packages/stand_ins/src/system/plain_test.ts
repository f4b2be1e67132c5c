import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as tcpProxy from "../testing/tcp_proxy.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

function largeBodies(): testConfiguration.DocumentInput {
  const document = testConfiguration.testConfiguration();
  const maximumBodyBytes = 16 * 1024 * 1024;
  return {
    ...document,
    services: document.services.map((service) =>
      service.kind === configuration.ServiceKind.Plain
        ? { ...service, maximumBodyBytes }
        : service,
    ),
  };
}

test(
  "a plain call is passed on and its answer returned",
  withCluster.withCluster({}, async (t, system) => {
    const answer = await system.call({ path: "/confirm/1?x=2", call: "one" });
    t.is(answer.status, 200);
    t.is((JSON.parse(answer.body) as { url: string }).url, "/confirm/1?x=2");
    t.is(system.plain.calls.get("one"), 1);
    t.is(answer.headers["x-count"], "1");
  }),
);

test(
  "a body beyond the service's limit is refused before anything runs",
  withCluster.withCluster({ entries: 1 }, async (t, system) => {
    const body = "x".repeat(1024 * 1024 + 1);
    const answer = await system
      .call({ path: "/confirm", call: "big", body })
      .catch(() => undefined);
    if (answer) t.is(answer.status, 413);
    t.is(system.plain.calls.get("big"), undefined);
  }),
);

test(
  "a large body is streamed to the service, at the service's pace",
  withCluster.withCluster(
    { entries: 1, configuration: largeBodies() },
    async (t, system) => {
      const size = 5 * 1024 * 1024;
      const body = "x".repeat(size);
      const answer = await system.call({ path: "/confirm", call: "big", body });
      t.is(answer.status, 200, answer.body);
      t.is((JSON.parse(answer.body) as { received: number }).received, size);
    },
  ),
);

// The links to the runner go silent in the middle of a large body. The pieces
// that were lost with them are sent again over new links, none twice, and the
// service receives the whole body once.
test(
  "a large body survives links that go silent",
  withCluster.withCluster(
    { entries: 1, proxied: true, configuration: largeBodies() },
    async (t, system) => {
      const size = 6 * 1024 * 1024;
      const runner = system.upstreams.find(({ name }) => name === "plain-0");
      runner?.proxy?.delay(5);
      const answering = system.call({
        path: "/confirm",
        call: "cut",
        body: "y".repeat(size),
      });
      await system.until(() => runner?.running.unfinished() === 1);
      runner?.proxy?.set(tcpProxy.ProxyMode.SilenceOpen);
      await system.until(() =>
        system.entries[0].logger.events.some(
          ({ code }) => code === common.EventCode.LinkSilent,
        ),
      );
      runner?.proxy?.set(tcpProxy.ProxyMode.Pass);
      const answer = await answering;
      t.is(answer.status, 200, answer.body);
      t.is((JSON.parse(answer.body) as { received: number }).received, size);
      t.is(system.plain.calls.get("cut"), 1);
    },
  ),
);

test(
  "a key used again gives the kept answer, and never another's",
  withCluster.withCluster({}, async (t, system) => {
    const first = await system.call({ path: "/confirm", call: "a", key: "k" });
    // The claim is settled after the answer; asked meanwhile, the runner gives
    // the same answer.
    const again = await system.call({
      path: "/confirm",
      call: "a",
      key: "k",
      entry: 1,
    });
    t.is(again.status, 200);
    t.is(again.body, first.body);
    t.is(system.plain.calls.get("a"), 1);
    const other = await system.call({
      path: "/confirm",
      call: "a",
      key: "k",
      body: '{"other":true}',
    });
    t.is(other.status, 422);
    t.is(system.plain.calls.get("a"), 1);
  }),
);

test(
  "a key used at two entries at the same moment runs once",
  withCluster.withCluster({ plainRunners: 2 }, async (t, system) => {
    system.plain.faults.delayMilliseconds = 100;
    const calls = Array.from({ length: 6 }, (_, index) =>
      system.call({
        path: "/confirm",
        call: "same",
        key: "same-key",
        entry: index % 2,
      }),
    );
    const answers = await Promise.all(calls);
    t.is(system.plain.calls.get("same"), 1);
    const bodies = new Set(answers.map(({ body }) => body));
    t.deepEqual(
      answers.map(({ status }) => status),
      answers.map(() => 200),
    );
    t.is(bodies.size, 1);
  }),
);
