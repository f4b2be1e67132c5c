export * from "./engine.ts";
export * from "./http_engine.ts";
export * from "./plain_service.ts";
export * from "./answer_notice.ts";
