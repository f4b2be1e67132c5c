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

// An engine may measure its pace anew for each of its 25 reports a second. If
// each were sent, the leader of a large group would receive all of them.
test("a pace that differs in each reading is sent four times a second", (t) => {
  const record = new heartbeatRecord.HeartbeatRecord();
  let sent = 0;
  for (let now = 0; now < 2_000; now += 40) {
    const status = rankFixture.createStatus({ pace: 12 + now / 1_000 });
    if (record.recordIfDue(status, now)) sent++;
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
