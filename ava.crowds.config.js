// Tests that measure the memory of a process beside crowds of callers, one at a time.
export default {
  files: ["platform/dist/**/*_crowd_test.js"],
  timeout: "2m",
  serial: true,
  concurrency: 1,
  workerThreads: false,
};
