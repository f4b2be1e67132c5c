import * as zod from "zod";

/**
 * Schema of a list whose check ends at its first bad item. A schema of the library
 * makes a problem of each bad item: of a long list of them, more than fit into the
 * memory of a process.
 */
export function listOf<Schema extends zod.ZodType>(
  item: Schema,
): zod.ZodType<zod.output<Schema>[]> {
  return zod.array(zod.unknown()).transform((values, context) => {
    const items: zod.output<Schema>[] = [];
    for (const [index, value] of values.entries()) {
      const read = item.safeParse(value);
      if (!read.success) {
        for (const { message, path } of read.error.issues) {
          const at = [index, ...path];
          context.addIssue({ code: "custom", message, path: at });
        }
        return zod.NEVER;
      }
      items.push(read.data);
    }
    return items;
  });
}
