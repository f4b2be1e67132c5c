#!/usr/bin/env node
import * as tool from "../dist/mod.js";

await tool.main(process.argv);
