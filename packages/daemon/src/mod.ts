export * from "./entry/start_entry.ts";
export * from "./operator/request_listener.ts";
export * from "./running_process.ts";
export * from "./settings/settings.ts";
export * from "./start_process.ts";
export * from "./upstream/start_upstream.ts";
