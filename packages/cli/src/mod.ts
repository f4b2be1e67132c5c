export * from "./program.ts";
