import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as zod from "zod";
import * as listOf from "./list_of.ts";
import * as validation from "./validation.ts";

const test = ava.default;

const SEED = 61;
const RUNS = 2_000;
const LONGEST_TEXT = 2_000;
const SCHEMA = zod.object({
  name: zod.string(),
  count: zod.number().int().min(1),
  items: zod.array(zod.object({ key: zod.enum(["a", "b"]) })),
});

function nestedText(depth: number): string {
  return "[".repeat(depth) + "]".repeat(depth);
}

// Guards against an input whose refusal overflows the stack, which ends the process.
test("a value of any depth is refused, with a short text", (t) => {
  for (const depth of [1, 99, 101, 5_000, 500_000]) {
    for (const text of [
      nestedText(depth),
      `{"name":${nestedText(depth)}}`,
      `{"items":[{"key":${nestedText(depth)}}]}`,
      `{"unknown":${nestedText(depth)},"name":1}`,
    ]) {
      const problems = validation.validateJson(SCHEMA, text)._unsafeUnwrapErr();
      t.true(validation.describeProblems(problems).length < LONGEST_TEXT);
    }
  }
});

test("what lies too deep is refused also where any value is taken", (t) => {
  const schema = zod.object({ any: zod.unknown() });
  const read = (depth: number) =>
    validation.validateJson(schema, `{"any":${nestedText(depth)}}`);
  t.true(read(90).isOk());
  t.true(read(5_000).isErr());
});

// Guards against a refusal that throws, or whose text grows with the input.
test("any input is taken or refused, with a short text", (t) => {
  const input = fastCheck.oneof(
    fastCheck.jsonValue({ depthSize: "large", maxDepth: 40 }),
    fastCheck.record({
      name: fastCheck.oneof(
        fastCheck.string({ minLength: 200, maxLength: 400, unit: "binary" }),
        fastCheck.jsonValue(),
      ),
      count: fastCheck.oneof(fastCheck.double(), fastCheck.jsonValue()),
      items: fastCheck.array(fastCheck.jsonValue(), { maxLength: 60 }),
    }),
  );
  fastCheck.assert(
    fastCheck.property(input, (value) => {
      const read = validation.validateJson(SCHEMA, JSON.stringify(value));
      const problems = read.isErr() ? read.error : [];
      return validation.describeProblems(problems).length < LONGEST_TEXT;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("a problem names the path, the value and the fix", (t) => {
  const text = '{"name":"n","count":0,"items":[{"key":{"a":[1,"x"]}}]}';
  const problems = validation.validateJson(SCHEMA, text)._unsafeUnwrapErr();
  t.deepEqual(
    problems.map(({ path, value }) => [path, value]),
    [
      ["count", "0"],
      ["items.0.key", '{"a":[1,"x"]}'],
    ],
  );
});

test("of many problems the first are told, and how many more there are", (t) => {
  const items = Array.from({ length: 300 }, () => "{}").join();
  const text = `{"name":"n","count":1,"items":[${items}]}`;
  const problems = validation.validateJson(SCHEMA, text)._unsafeUnwrapErr();
  t.regex(validation.describeProblems(problems), /; and 295 more$/);
});

// Guards against a long list of bad items, whose problems fill the memory.
test("the check of a list ends at its first bad item", (t) => {
  const item = zod.object({ name: zod.string(), count: zod.number() });
  const schema = zod.object({ items: listOf.listOf(item) });
  const sound = { name: "n", count: 1 };
  const read = (items: unknown[]) =>
    validation.validateJson(schema, JSON.stringify({ items }));
  t.deepEqual(read([sound, sound])._unsafeUnwrap(), { items: [sound, sound] });
  const bad = Array.from({ length: 100_000 }, () => ({}));
  const problems = read([sound, ...bad])._unsafeUnwrapErr();
  t.deepEqual(
    problems.map(({ path }) => path),
    ["items.1.name", "items.1.count"],
  );
  t.true(read([7])._unsafeUnwrapErr().length === 1);
});

test("a row that is too long is refused before it is parsed", (t) => {
  const row = validation.validateRow(zod.unknown(), "[".repeat(2_000_000));
  t.is(row._unsafeUnwrapErr()[0].path, "(text)");
});

// Guards against a text of some megabytes that takes many times its length once parsed,
// which ends the process.
test("a long text with very many values is refused before it is parsed", (t) => {
  const schema = zod.array(zod.unknown());
  const read = (text: string) => validation.validateJson(schema, text);
  const manyValues = `[${"[],".repeat(2_000_000)}[]]`;
  const [problem] = read(manyValues)._unsafeUnwrapErr();
  t.is(problem.path, "(text)");
  const fewValues = JSON.stringify(["x".repeat(manyValues.length)]);
  t.is(read(fewValues)._unsafeUnwrap().length, 1);
});
