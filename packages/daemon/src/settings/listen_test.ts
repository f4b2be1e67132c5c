import * as fs from "node:fs";
import * as url from "node:url";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as undici from "undici";
import * as wire from "@geraniumkeel/wire";
import * as listenModule from "./listen.ts";
import * as settings from "./settings.ts";

const test = ava.default;

const MAX_CONNECTIONS = 10;
const FIXTURES = new URL("../../fixtures/", import.meta.url);
const certificateFile = url.fileURLToPath(
  new URL("test_certificate.pem", FIXTURES),
);
const keyFile = url.fileURLToPath(new URL("test_key.pem", FIXTURES));
const TIMING = { heartbeat: 50, silentAfter: 500, connectTimeout: 1_000 };
const KEY = "a-process-key-for-tests";

function tlsListener(): settings.Listener {
  return { address: "127.0.0.1", port: 0, tls: { certificateFile, keyFile } };
}

test("a listener with TLS serves HTTPS, and accepts links if the certificate is trusted and the key right", async (t) => {
  const lifeCycle = new common.LifeCycle("test");
  const opened = await listenModule.listen({
    name: "links",
    maxConnections: MAX_CONNECTIONS,
    listener: tlsListener(),
    handler: (_request, response) => response.end("hello"),
    lifeCycle,
  });
  const { server, url: base } = opened._unsafeUnwrap();
  const heartbeat = () => ({ clock: common.now(), revision: 0 });
  const accepted = new common.Channel<wire.Link>();
  const accepting = wire.acceptLinks({
    server,
    path: listenModule.LINK_PATH,
    key: KEY,
    timing: TIMING,
    heartbeat,
    onLink: (link) => accepted.push(link),
  });
  lifeCycle.own({ name: "accepting", close: accepting.close });
  const ca = fs.readFileSync(certificateFile, "utf8");
  const dispatcher = new undici.Agent({ connect: { ca } });
  const answer = await undici.request(base, { dispatcher });
  t.is(await answer.body.text(), "hello");
  const dial = (key: string, certificateAuthority?: string) =>
    wire.dial({
      url: listenModule.webSocketLinkUrl(base),
      key,
      timing: TIMING,
      heartbeat,
      certificateAuthority,
    });
  t.true(
    (await dial(KEY)).isErr(),
    "a dialler that does not trust the certificate fails",
  );
  const wrong = await dial("wrong", ca);
  t.true(wrong.isErr() && wrong.error.refused);
  const link = (await dial(KEY, ca))._unsafeUnwrap();
  link.send({ kind: wire.MessageKind.Leaving });
  const acceptedLink = await accepted.receive();
  t.is((await acceptedLink?.receive())?.kind, wire.MessageKind.Leaving);
  await lifeCycle.close();
  await dispatcher.destroy();
});

test("if a listener's certificate file does not exist, the failure contains the listener's name", async (t) => {
  const listener = tlsListener();
  const opened = await listenModule.listen({
    name: "callers",
    maxConnections: MAX_CONNECTIONS,
    listener: { ...listener, tls: { certificateFile: "/none", keyFile } },
    lifeCycle: new common.LifeCycle("test"),
  });
  t.is(opened.isErr() && opened.error.listenerName, "callers");
});

test("a listener without TLS must use a loopback address", (t) => {
  const parsed = settings.LISTENER.safeParse({ address: "0.0.0.0", port: 80 });
  t.false(parsed.success);
  t.regex(parsed.error?.issues[0].message ?? "", /give tls/);
  t.true(settings.LISTENER.safeParse({ port: 80 }).success);
});
