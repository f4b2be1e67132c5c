import * as neverthrow from "neverthrow";
import * as zod from "zod";

/** One thing wrong with an input: where, what was found, how to mend it. */
export interface InputProblem {
  path: string;
  value: string;
  fix: string;
}

/** Characters of a value, or of a path to it, in the text of a problem. */
const LONGEST_VALUE = 80;
const LONGEST_PATH = 120;
/** Items of a list, or fields of an object, in the text of a problem. */
const MOST_ITEMS = 8;
/** Levels of a value in the text of a problem. */
const DEEPEST_RENDERED = 3;
/** Characters of a row; many times what the tables take. */
const LONGEST_ROW = 1024 * 1024;
/** Problems of one input that are described. */
const MOST_PROBLEMS = 5;
/**
 * Levels of lists and objects in an input. Parsing has no bound of its own, but
 * writing a value as text or copying it calls itself for each level, and some
 * thousands of levels end the process by an overflow of its stack.
 */
const DEEPEST_INPUT = 100;

/** Characters of a text whose values are counted before it is parsed. */
const LONGEST_UNCOUNTED = 1024 * 1024;
/** Values of a longer text; each takes tens of bytes, whatever it is in the text. */
const MOST_VALUES = 500_000;

/**
 * Checks an input against a schema. All problems are reported at once, so that
 * a file needs one round of mending and not one per mistake.
 */
export function validate<T>(
  schema: zod.ZodType<T>,
  input: unknown,
): neverthrow.Result<T, InputProblem[]> {
  const parsed = schema.safeParse(input);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const problems = parsed.error.issues.map((issue) => problemOf(issue, input));
  return neverthrow.err(problems);
}

/** Parses JSON text, then validates it. */
export function validateJson<T>(
  schema: zod.ZodType<T>,
  text: string,
): neverthrow.Result<T, InputProblem[]> {
  if (text.length > LONGEST_UNCOUNTED && hasMoreValues(text, MOST_VALUES)) {
    const fix = `write ${MOST_VALUES} values at most`;
    return neverthrow.err([{ path: "(text)", value: "(more)", fix }]);
  }
  let input: unknown;
  try {
    input = JSON.parse(text);
  } catch (cause) {
    const fix = `write valid JSON: ${(cause as Error).message}`;
    return neverthrow.err([{ path: "(file)", value: "(text)", fix }]);
  }
  if (isDeeperThan(input, DEEPEST_INPUT)) {
    const fix = `nest lists and objects in ${DEEPEST_INPUT} levels at most`;
    return neverthrow.err([{ path: "(top)", value: "(deeper)", fix }]);
  }
  return validate(schema, input);
}

/** Parses the JSON text of a row of a table, then validates it. */
export function validateRow<T>(
  schema: zod.ZodType<T>,
  text: string,
): neverthrow.Result<T, InputProblem[]> {
  if (text.length <= LONGEST_ROW) return validateJson(schema, text);
  const value = `${text.length} characters`;
  const fix = `write ${LONGEST_ROW} at most`;
  return neverthrow.err([{ path: "(text)", value, fix }]);
}

/** One line per problem, for people. */
export function describeProblem(problem: InputProblem): string {
  return `${problem.path}: found ${problem.value}; ${problem.fix}`;
}

/** One line for all problems of an input; of many, the first ones are told. */
export function describeProblems(problems: InputProblem[]): string {
  const told = problems.slice(0, MOST_PROBLEMS).map(describeProblem);
  const left = problems.length - told.length;
  if (left > 0) told.push(`and ${left} more`);
  return told.join("; ");
}

/** Whether a JSON text may have more values than some; commas in texts count too. */
function hasMoreValues(text: string, most: number): boolean {
  let values = 1;
  for (let at = 0; at < text.length && values <= most; at++) {
    const character = text[at];
    if (character === "," || character === "[" || character === "{") values++;
  }
  return values > most;
}

/** Whether a parsed input has more levels of lists and objects than some. */
function isDeeperThan(input: unknown, levels: number): boolean {
  let level = [input].filter(isNested);
  for (let depth = 0; depth < levels && level.length > 0; depth++) {
    level = level.flatMap((value) => Object.values(value).filter(isNested));
  }
  return level.length > 0;
}

function isNested(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

function problemOf(
  issue: { path: PropertyKey[]; message: string; code?: string },
  input: unknown,
): InputProblem {
  const path = shorten(issue.path.map(String).join("."), LONGEST_PATH);
  const extra = issue as { keys?: string[]; expected?: string };
  if (issue.code === "unrecognized_keys") {
    const names = (extra.keys ?? []).slice(0, MOST_ITEMS);
    const keys = names.map((key) => render(key)).join(", ");
    return {
      path: path || "(top)",
      value: `unknown ${keys}`,
      fix: `remove ${keys}`,
    };
  }
  return {
    path: path || "(top)",
    value: render(valueAt(input, issue.path)),
    fix: issue.message,
  };
}

function valueAt(input: unknown, path: PropertyKey[]): unknown {
  let value = input;
  for (const part of path) {
    if (value === null || typeof value !== "object") return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

/** A value as text; of one that is long or deep, its beginning. */
function render(value: unknown): string {
  if (value === undefined) return "nothing";
  return shorten(renderLevels(value, DEEPEST_RENDERED), LONGEST_VALUE);
}

function renderLevels(value: unknown, levels: number): string {
  if (typeof value === "string")
    return JSON.stringify(value.slice(0, LONGEST_VALUE));
  if (!isNested(value)) return String(value);
  const isList = Array.isArray(value);
  if (levels === 0) return isList ? "[…]" : "{…}";
  const keys = Object.keys(value);
  const items = keys.slice(0, MOST_ITEMS).map((key) => {
    const item = renderLevels(
      (value as Record<string, unknown>)[key],
      levels - 1,
    );
    return isList
      ? item
      : `${JSON.stringify(shorten(key, LONGEST_VALUE))}:${item}`;
  });
  if (keys.length > MOST_ITEMS) items.push("…");
  return isList ? `[${items.join(",")}]` : `{${items.join(",")}}`;
}

function shorten(text: string, longest: number): string {
  return text.length <= longest ? text : `${text.slice(0, longest)}…`;
}
