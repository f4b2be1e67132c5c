export * from "./document_source.ts";
export * from "./follow_document.ts";
export * from "./proven_value.ts";
export * from "./registered_runners.ts";
export * from "./route_table.ts";
export * from "./runner_entry.ts";
export * from "./traffic_configuration.ts";
export * from "./traffic_view.ts";
