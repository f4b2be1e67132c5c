export * from "./engine.ts";
export * from "./http_engine.ts";
export * from "./plain_service.ts";
