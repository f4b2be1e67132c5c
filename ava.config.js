export default {
  files: ["packages/*/dist/**/*_test.js"],
  timeout: "2m",
  concurrency: 4,
  workerThreads: false,
};
