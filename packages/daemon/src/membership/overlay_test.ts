import * as ava from "ava";
import * as overlay from "./overlay.ts";

const test = ava.default;

function hosts(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `entry-${index}`);
}

/**
 * Number of hops in which a message from one host reaches all, by breadth-first
 * search.
 */
function hopsFrom(start: string, all: string[]): number {
  const seen = new Set([start]);
  let frontier = [start];
  let hops = 0;
  while (seen.size < all.length && frontier.length > 0) {
    const next: string[] = [];
    for (const host of frontier) {
      for (const other of overlay.neighbours(host, all)) {
        if (seen.has(other)) continue;
        seen.add(other);
        next.push(other);
      }
    }
    frontier = next;
    hops++;
  }
  return seen.size === all.length ? hops : Infinity;
}

test("few entries form a full mesh", (t) => {
  t.is(overlay.neighbours("entry-0", hosts(7)).size, 6);
});

test("if one entry wants a link to another, the other wants it too", (t) => {
  const all = hosts(60);
  for (const host of all) {
    for (const other of overlay.neighbours(host, all)) {
      t.true(overlay.neighbours(other, all).has(host));
    }
  }
});

test("links and hops grow with the logarithm of the number of entries", (t) => {
  for (const count of [20, 60, 330]) {
    const all = hosts(count);
    const bound = 2 * Math.ceil(Math.log2(count));
    t.true(overlay.neighbours("entry-0", all).size <= bound);
    t.true(hopsFrom("entry-0", all) <= Math.ceil(Math.log2(count)));
  }
});
