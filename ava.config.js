export default {
  files: [
    "packages/*/dist/**/*_test.js",
    "platform/dist/**/*_test.js",
    "!platform/dist/**/*_crowd_test.js",
  ],
  timeout: "2m",
  serial: true,
  concurrency: 8,
  workerThreads: false,
};
