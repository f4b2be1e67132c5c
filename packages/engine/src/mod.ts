export * from "./engine.ts";
export * from "./http_engine.ts";
export * from "./plain_service.ts";
export * from "./rate_limit_notice.ts";
