export * from "./definite_write.ts";
export * from "./host_list.ts";
export * from "./http_client.ts";
export * from "./http_table.ts";
export * from "./object_store.ts";
export * from "./table.ts";
