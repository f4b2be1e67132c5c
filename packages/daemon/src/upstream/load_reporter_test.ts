import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as attemptRecord from "./attempt_record.ts";
import * as attemptTable from "./attempt_table.ts";
import * as loadReporter from "./load_reporter.ts";

const test = ava.default;

const PERIOD_MILLISECONDS = 20;
/** A pause that outlasts the test: only news may end it. */
const IDLE_MILLISECONDS = 3_600_000;
const TIMEOUT_MILLISECONDS = 20_000;

interface Fixture {
  table: attemptTable.AttemptTable;
  dispatches: loadReporter.LinkDispatches;
  /** Waits for a report that meets a condition; false if none comes. */
  reported: (
    condition: (message: MessageOf<wire.MessageKind.Load>) => boolean,
  ) => Promise<boolean>;
  stop: () => Promise<void>;
}

type MessageOf<K extends wire.MessageKind> = Extract<wire.Message, { kind: K }>;

function fixture(): Fixture {
  const table = new attemptTable.AttemptTable("incarnation-one");
  const dispatches = { received: 0, reported: 0 };
  const sent: wire.Message[] = [];
  const arrived = new common.ChangeNotice();
  const send = (message: wire.Message) => {
    sent.push(message);
    arrived.announce();
  };
  const reporter = new loadReporter.LoadReporter({
    table,
    engine: undefined,
    waiting: () => 0,
    links: new Map([[{ send }, dispatches]]),
    periodMilliseconds: PERIOD_MILLISECONDS,
    idleMilliseconds: IDLE_MILLISECONDS,
  });
  const stopping = new AbortController();
  const running = reporter.run(stopping.signal);
  return {
    table,
    dispatches,
    reported: (condition) =>
      arrived.until({
        condition: () =>
          sent.some(
            (message) =>
              message.kind === wire.MessageKind.Load && condition(message),
          ),
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      }),
    stop: () => {
      stopping.abort();
      return running;
    },
  };
}

/** An attempt that begins and ends at once. */
function runShortly({ table, dispatches }: Fixture, identifier: string): void {
  dispatches.received++;
  const attempt = {
    identifier,
    agentIncarnation: "incarnation-one",
    issuedAt: 0,
  };
  const entry = { send: () => undefined } as unknown as wire.Link;
  const record = new attemptRecord.AttemptRecord(attempt, true, entry, 1, 0);
  table.add(record);
  table.ended(record);
}

// A burst of short requests is over before the next report. The entry counts
// them until a report includes them; without one it holds others back for as
// long as an idle runner keeps quiet.
test("attempts that end between two reports are told of", async (t) => {
  const runner = fixture();
  runShortly(runner, "request/1");
  t.true(await runner.reported(({ load }) => load.finished === 1));
  // The reporter now waits for its next look.
  runShortly(runner, "request/2");
  t.true(
    await runner.reported(
      ({ load, dispatches }) => load.finished === 2 && dispatches === 2,
    ),
  );
  await runner.stop();
});

// A dispatch is refused, so no attempt begins or ends. Its entry counts it all
// the same until a report includes it.
test("a refused dispatch is told of", async (t) => {
  const { table, dispatches, reported, stop } = fixture();
  dispatches.received++;
  table.changed.announce();
  t.true(await reported(({ dispatches }) => dispatches === 1));
  await stop();
});
