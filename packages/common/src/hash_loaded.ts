import * as hash from "./hash.ts";

await hash.loadHash();
