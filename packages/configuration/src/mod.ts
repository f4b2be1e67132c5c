export * from "./configuration_view.ts";
export * from "./schema.ts";
export * from "./sections.ts";
