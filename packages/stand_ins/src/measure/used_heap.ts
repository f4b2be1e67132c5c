/** Bytes of heap in use; exact only when node runs with --expose-gc. */
export function usedHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
