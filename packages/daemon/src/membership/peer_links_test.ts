import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as configurationHolder from "../configuration/configuration_holder.ts";
import * as settings from "../settings/settings.ts";
import type * as hostView from "./host_view.ts";
import * as memberTable from "./member_table.ts";
import * as peerLinks from "./peer_links.ts";

const test = ava.default;

const HELLO = {
  kind: wire.MessageKind.Hello,
  host: "entry-two",
  incarnation: "two",
  linkNumber: 1,
  revision: 0,
} as wire.Message;

/** A link over which a hello and some messages come; then it stays open. */
class FakeLink {
  end: wire.LinkEnd | undefined;
  readonly sent: wire.Message[] = [];
  readonly #closed = new common.ChangeNotice();

  constructor(readonly given: wire.Message[]) {}

  closeOn(): void {}
  receive = () => Promise.resolve(HELLO);
  send = (message: wire.Message) => void this.sent.push(message);

  close(end: wire.LinkEnd = wire.LinkEnd.Closed): void {
    this.end ??= end;
    this.#closed.announce();
  }

  async *messages(): AsyncGenerator<wire.Message> {
    yield* this.given;
    while (this.end === undefined) await this.#closed.next(10);
  }
}

interface Fixture {
  peers: peerLinks.PeerLinks;
  failed: unknown[];
}

function createPeers(
  t: ava.ExecutionContext,
  change: Partial<peerLinks.PeerLinksParameters>,
): Fixture {
  const failed: unknown[] = [];
  const lifeCycle = new common.LifeCycle("entry", (_task, cause) =>
    failed.push(cause),
  );
  t.teardown(() => lifeCycle.close());
  const self = { host: "entry-one", incarnation: "one", place: "p" };
  const peers = new peerLinks.PeerLinks({
    settings: settings.ENTRY_SETTINGS.parse({
      role: settings.Role.Entry,
      host: "entry-one",
      place: "p",
      region: "r",
      processKey: "key-of-processes",
      platform: { url: "http://127.0.0.1:1" },
      listen: {
        callers: { port: 1 },
        links: { port: 2 },
        operators: { port: 3 },
      },
    }),
    incarnation: "one",
    lifeCycle,
    logger: new common.RecordingLogger(),
    metrics: common.discardMetrics(),
    random: new common.Random(1),
    members: new memberTable.MemberTable({
      ...self,
      callerUrl: "",
      peerUrl: "",
    }),
    hosts: { hosts: new Map() } as unknown as hostView.HostView,
    currentConfiguration: {
      revision: 0,
      view: undefined,
      noteRevision: () => {},
    } as unknown as configurationHolder.ConfigurationHolder,
    certificateAuthority: undefined,
    onMessage: () => {},
    onLinked: () => {},
    ...change,
  });
  return { peers, failed };
}

async function untilEnded(link: FakeLink): Promise<void> {
  const latest = common.now() + 1_000;
  while (link.end === undefined && common.now() < latest) await common.sleep(5);
}

// Guards against a link between entries that nobody reads any more and that stays in use,
// after a message on it could not be handled: a configuration pushed over it is lost.
test("a peer's link is closed and forgotten after an exception", async (t) => {
  const fail = () => {
    throw new Error("not handled");
  };
  for (const change of [{ onMessage: fail }, { onLinked: fail }]) {
    const { peers, failed } = createPeers(t, change);
    const link = new FakeLink([{ kind: wire.MessageKind.Drain }]);
    peers.accept(link as unknown as wire.Link);
    await untilEnded(link);
    t.is(link.end, wire.LinkEnd.Closed);
    await common.nextTurn();
    t.deepEqual(peers.linked, []);
    t.is(failed.length, 1);
  }
});

// Guards against a message to an entry whose address can't be used: the rejection of a
// promise that nobody waits for ended the process.
test("sending to an entry fails as a value, whatever goes wrong", async (t) => {
  const hosts = {
    get: () => {
      throw new Error("no list");
    },
  };
  const { peers, failed } = createPeers(t, {
    hosts: { hosts } as unknown as hostView.HostView,
  });
  const message: wire.Message = { kind: wire.MessageKind.Drain };
  t.false(await peers.sendTo("entry-two", message));
  t.is(failed.length, 1);
});
