import * as faultTests from "./fault_tests.ts";

faultTests.registerFaultTests(1, 6);
