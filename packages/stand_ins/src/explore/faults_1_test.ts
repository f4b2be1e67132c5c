import * as faultTests from "./fault_tests.ts";

faultTests.registerFaultTests(0, 6);
