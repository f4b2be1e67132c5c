export * from "./configuration_view.ts";
export * from "./schema.ts";
export * from "./section_reader.ts";
export * from "./sections.ts";
