/**
 * The parts of the daemon that pass requests on as they are, and that keep a
 * group's map. A process of these parts alone starts without the servers of the
 * daemon's own interface, in a third of the time.
 */
export * from "./dispatch/retry_budget.ts";
export * from "./forwarding/forward_request.ts";
export * from "./forwarding/forwarder.ts";
export * from "./forwarding/runner_board.ts";
export * from "./forwarding/runner_caller.ts";
export * from "./gateway/gateway.ts";
export * from "./quarantine/runner_crash.ts";
export * from "./gateway/operator_view.ts";
export * from "./rank_group/execute_order.ts";
export * from "./rank_group/rank_handle.ts";
export * from "./rank_group/order_until_final.ts";
export * from "./rank_group/rank_engine.ts";
export * from "./rank_group/rank_process.ts";
export * from "./rank_group/recover_switch.ts";
export * from "./rank_group/switch_group.ts";
