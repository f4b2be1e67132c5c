/** The parts of a JSON Schema that the page shows. */
export interface Schema {
  description?: string;
  type?: string;
  enum?: unknown[];
  const?: unknown;
  default?: unknown;
  minimum?: number;
  maximum?: number;
  exclusiveMinimum?: number;
  pattern?: string;
  properties?: Record<string, Schema>;
  required?: string[];
  items?: Schema;
  oneOf?: Schema[];
  anyOf?: Schema[];
}

/** Reference page of a JSON Schema: one row a value, by its path. */
export function schemaPage(parameters: {
  title: string;
  intro: string;
  schema: Schema;
}): string {
  const rows = describe(parameters.schema, "");
  return [
    `# ${parameters.title}`,
    "",
    parameters.intro,
    "",
    "| path | value | default | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function describe(schema: Schema, path: string): string[] {
  const variants = schema.oneOf ?? schema.anyOf;
  if (variants) {
    return variants.flatMap((variant) =>
      describe(variant, withVariant(path, variant)),
    );
  }
  if (schema.items) return describe(schema.items, `${path}[]`);
  if (schema.properties) {
    const required = new Set(schema.required);
    return Object.entries(schema.properties)
      .filter(([name]) => name !== "$schema")
      .flatMap(([name, child]) => {
        const childPath = path ? `${path}.${name}` : name;
        if (isLeaf(child)) {
          return [row(childPath, child, required.has(name))];
        }
        return describe(child, childPath);
      });
  }
  return [row(path, schema, true)];
}

/** `services[]` of kind model becomes `services[kind=model]`. */
function withVariant(path: string, variant: Schema): string {
  for (const name of ["kind", "role"]) {
    const value = variant.properties?.[name]?.const;
    if (typeof value !== "string") continue;
    return `${path.replace(/\[\]$/, "")}[${name}=${value}]`;
  }
  return path;
}

function isLeaf(schema: Schema): boolean {
  const nested = schema.properties ?? schema.items;
  return !nested && !schema.oneOf && !schema.anyOf;
}

function row(path: string, schema: Schema, required: boolean): string {
  const standard =
    schema.default === undefined
      ? required
        ? "required"
        : "none"
      : JSON.stringify(schema.default);
  const meaning = schema.description ?? "";
  return `| \`${path}\` | ${valueOf(schema)} | ${standard} | ${meaning} |`;
}

function valueOf(schema: Schema): string {
  if (schema.const !== undefined) return JSON.stringify(schema.const);
  if (schema.enum) {
    return schema.enum.map((one) => JSON.stringify(one)).join(" or ");
  }
  const low =
    schema.minimum ??
    (schema.exclusiveMinimum === undefined
      ? undefined
      : `>${schema.exclusiveMinimum}`);
  const bounds =
    low === undefined ? "" : ` ${low} to ${schema.maximum ?? "any"}`;
  return `${schema.type ?? "any"}${bounds}`;
}
