import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as zod from "zod";

/**
 * Reads the lists in sections, and keeps the last one of each. To check 10,000
 * accounts takes 50 ms or more, and most changes concern one section.
 */
export class SectionReader {
  readonly #last = new Map<string, { text: string; list: unknown }>();

  /**
   * Reads the list in a section. A field that this version does not know is no
   * problem, as a later version may have written it.
   */
  read<T>(
    name: string,
    text: string | undefined,
    schemaOfList: zod.ZodType<T>,
  ): neverthrow.Result<T, common.InputProblem[]> {
    if (text === undefined) {
      const fix = "store the section";
      return neverthrow.err([{ path: name, value: "nothing", fix }]);
    }
    const last = this.#last.get(name);
    if (last?.text === text) return neverthrow.ok(last.list as T);
    const read = common
      .validateJson(zod.unknown(), text)
      .andThen((input) => checkList(schemaOfList, input));
    if (read.isErr()) {
      const problems = read.error.map((problem) => ({
        ...problem,
        path: `${name}: ${problem.path}`,
      }));
      return neverthrow.err(problems);
    }
    this.#last.set(name, { text, list: read.value });
    return neverthrow.ok(read.value);
  }
}

function checkList<T>(
  schemaOfList: zod.ZodType<T>,
  input: unknown,
): neverthrow.Result<T, common.InputProblem[]> {
  const parsed = schemaOfList.safeParse(input);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const isOnlyNewer = parsed.error.issues.every(
    ({ code }) => code === "unrecognized_keys",
  );
  return isOnlyNewer
    ? neverthrow.ok(input as T)
    : common.validate(schemaOfList, input);
}
