import * as ava from "ava";
import * as codec from "./codec.ts";
import * as meshLoad from "./mesh_load.ts";
import * as messageKind from "./message_kind.ts";

const test = ava.default;

function createLoad(services: number): meshLoad.MeshLoad {
  return {
    kind: messageKind.MessageKind.MeshLoad,
    services: Array.from({ length: services }, (_, index) => ({
      service: `service-${index}`,
      answerMilliseconds: 1_234,
      firstEventMilliseconds: -1,
      accounts: Array.from({ length: 24 }, (__, account) => ({
        account: `account-${account}`,
        urgency: 1,
        arrivalsPerSecond: 10.25,
      })),
      urgencies: Array.from({ length: 10 }, (__, urgency) => ({
        urgency,
        running: 1_000,
        waiting: 20,
        arrivalsPerSecond: 12.25,
      })),
    })),
  };
}

test("a load report comes out as it was", (t) => {
  const load = createLoad(2);
  t.deepEqual(codec.decode(codec.encode(load))._unsafeUnwrap(), load);
});

// The report goes to every entry several times a second: its size must not grow
// with the number of services in a configuration.
test("a load report of a hundred services takes no more than 14 KB", (t) => {
  const frame = codec.encode(createLoad(100));
  t.true(frame.byteLength <= 14_000);
  const decoded = codec.decode(frame)._unsafeUnwrap() as meshLoad.MeshLoad;
  t.is(decoded.services.length, meshLoad.MAX_REPORTED_SERVICES);
});

test("a load report with a value of the wrong type or below 0 is unreadable", (t) => {
  const faulty = [{ running: NaN }, { waiting: -1 }, { urgency: 10 }];
  for (const change of faulty) {
    const load = createLoad(1);
    Object.assign(load.services[0].urgencies[0], change);
    t.true(codec.decode(codec.encode(load)).isErr());
  }
});
