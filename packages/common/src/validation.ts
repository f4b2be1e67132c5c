import * as neverthrow from "neverthrow";
import * as zod from "zod";

/** One thing wrong with an input: where, what was found, how to mend it. */
export interface InputProblem {
  path: string;
  value: string;
  fix: string;
}

const LONGEST_VALUE = 80;

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
  let input: unknown;
  try {
    input = JSON.parse(text);
  } catch (cause) {
    const fix = `write valid JSON: ${(cause as Error).message}`;
    return neverthrow.err([{ path: "(file)", value: "(text)", fix }]);
  }
  return validate(schema, input);
}

/** One line per problem, for people. */
export function describeProblem(problem: InputProblem): string {
  return `${problem.path}: found ${problem.value}; ${problem.fix}`;
}

function problemOf(
  issue: { path: PropertyKey[]; message: string; code?: string },
  input: unknown,
): InputProblem {
  const path = issue.path.map(String).join(".") || "(top)";
  const extra = issue as { keys?: string[]; expected?: string };
  if (issue.code === "unrecognized_keys") {
    const keys = (extra.keys ?? []).map((key) => `"${key}"`).join(", ");
    return { path, value: `unknown ${keys}`, fix: `remove ${keys}` };
  }
  return {
    path,
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

function render(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? typeof value;
  if (text.length <= LONGEST_VALUE) return text;
  return `${text.slice(0, LONGEST_VALUE)}…`;
}
