#!/usr/bin/env node
import * as daemon from "../dist/main.js";

await daemon.main(process.argv);
