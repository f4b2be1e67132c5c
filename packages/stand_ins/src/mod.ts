export * from "./engine_group.ts";
export * from "./engine_model.ts";
export * from "./engine_stand_in.ts";
export * from "./plain_stand_in.ts";
export * from "./platform_stand_in.ts";
export * from "./sequence.ts";
export * from "./serve.ts";
