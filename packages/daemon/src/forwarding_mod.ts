/**
 * Exports the parts of the daemon that forward requests unchanged and those
 * that maintain a group's expert map. A process that imports only these starts
 * without the servers of the daemon's own interface, in a third of the time.
 */
export * from "./caller_connections/caller_bounds.ts";
export * from "./caller_connections/caller_connections.ts";
export * from "./caller_connections/caller_exchange.ts";
export * from "./caller_connections/in_force.ts";
export * from "./dispatch/retry_budget.ts";
export * from "./forwarding/caller_request.ts";
export * from "./forwarding/forwarder.ts";
export * from "./forwarding/request_intake.ts";
export * from "./forwarding/runner_tracker.ts";
export * from "./forwarding/runner_client.ts";
export * from "./gateway/gateway.ts";
export * from "./process/listen_when_free.ts";
export * from "./process/process_frame.ts";
export * from "./process/settings_at_start.ts";
export * from "./quarantine/prompt_parts.ts";
export * from "./quarantine/runner_crash.ts";
export * from "./gateway/operator_view.ts";
export * from "./rate_limit/rate_limit_permit.ts";
export * from "./rank_group/execute_order.ts";
export * from "./rank_group/rank_handle.ts";
export * from "./rank_group/order_until_final.ts";
export * from "./rank_group/pace_reader.ts";
export * from "./rank_group/rank_engine.ts";
export * from "./rank_group/rank_process.ts";
export * from "./rank_group/recover_switch.ts";
export * from "./rank_group/switch_group.ts";
export * from "./settings/host_limits.ts";
export * from "./shutdown/planned_stop.ts";
export * from "./shutdown/process_signals.ts";
