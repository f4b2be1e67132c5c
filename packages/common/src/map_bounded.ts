/**
 * Runs an asynchronous task for each item, a limited number at the same time, and
 * returns the results in the order of the items. Rejects as soon as one task does;
 * no further one is begun then.
 */
export async function mapBounded<Item, Result>(
  items: readonly Item[],
  limit: number,
  task: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  let next = 0;
  const work = async (): Promise<void> => {
    while (next < items.length) {
      const index = next++;
      try {
        results[index] = await task(items[index]);
      } catch (cause) {
        next = items.length;
        throw cause;
      }
    }
  };
  const workers = Math.min(items.length, Math.max(1, limit));
  await Promise.all(Array.from({ length: workers }, work));
  return results;
}
