/**
 * Exports of the package under its plain name: the start of entry and upstream
 * processes, their settings, and parts that move a group to a new expert map.
 * `forwarding_mod.ts` is a separate set of exports, for processes that do not
 * start the daemon's servers.
 */
export * from "./entry/start_entry.ts";
export * from "./expert_map/group_term.ts";
export * from "./expert_map/order_gate.ts";
export * from "./expert_map/rank_connection.ts";
export * from "./expert_map/switch_map.ts";
export * from "./expert_map/take_over.ts";
export * from "./operator/request_listener.ts";
export * from "./running_process.ts";
export * from "./settings/settings.ts";
export * from "./start_process.ts";
export * from "./upstream/start_upstream.ts";
