import * as ava from "ava";
import * as promptParts from "./prompt_parts.ts";

const test = ava.default;

// Guards against a part that nobody named, and against unbounded work.
test("each part is taken once, and unusable and surplus ones are not", (t) => {
  const long = "a".repeat(65);
  const named = ["a", "", " ", "b ", "a", long, "b", "c:d", "e\n", "__proto__"];
  t.deepEqual(promptParts.usableParts(named), ["a", "b", "e", "__proto__"]);
  const many = Array.from({ length: 10_000 }, (_, part) => `${part}`);
  t.is(promptParts.usableParts(many).length, 256);
});
