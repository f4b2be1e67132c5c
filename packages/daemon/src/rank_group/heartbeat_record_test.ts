import * as ava from "ava";
import * as heartbeatRecord from "./heartbeat_record.ts";
import * as rankFixture from "./rank_fixture.ts";

const test = ava.default;

test("a state that differs only in load and iteration is sent four times a second", (t) => {
  const record = new heartbeatRecord.HeartbeatRecord();
  let sent = 0;
  for (let now = 0; now < 2_000; now += 40) {
    if (
      record.recordIfDue(
        rankFixture.createStatus({ step: now, active: now % 5 }),
        now,
      )
    )
      sent++;
  }
  t.true(sent >= 7 && sent <= 9);
});

// The leader waits for each stage of a switch, such as a loaded map or a held
// iteration.
test("a new stage of a switch is sent at once", (t) => {
  const record = new heartbeatRecord.HeartbeatRecord();
  record.recordIfDue(rankFixture.createStatus(), 0);
  t.true(
    record.recordIfDue(rankFixture.createStatus({ preparedVersion: 2 }), 5),
  );
  t.true(
    record.recordIfDue(
      rankFixture.createStatus({ preparedVersion: 2, heldStep: 4 }),
      6,
    ),
  );
  t.false(
    record.recordIfDue(
      rankFixture.createStatus({ preparedVersion: 2, heldStep: 4 }),
      7,
    ),
  );
});

test("a new leader is sent the state at once", (t) => {
  const record = new heartbeatRecord.HeartbeatRecord();
  record.recordIfDue(rankFixture.createStatus(), 0);
  record.reset();
  t.true(record.recordIfDue(rankFixture.createStatus(), 1));
});
