import * as common from "@geraniumkeel/common";

/** Largest number of entries at which each has a link to every other. */
export const FULL_MESH_LIMIT = 8;

/**
 * Returns the entries that `self` should have a link to. If there are too many
 * for a full mesh, the entries form a ring in the order of their hashes, and
 * each has links to those at distances 1, 2, 4, 8 … in both directions. This
 * gives each of n entries at most 2·log2(n) links (rounded up), and a message
 * reaches all in at most log2(n) hops (rounded up). Entries that know the same
 * hosts agree on the links.
 */
export function neighbours(self: string, hosts: string[]): Set<string> {
  const others = hosts.filter((host) => host !== self);
  if (hosts.length <= FULL_MESH_LIMIT) return new Set(others);
  const ring = [...new Set([...others, self])].sort(byHash);
  const position = ring.indexOf(self);
  const selected = new Set<string>();
  for (let distance = 1; distance < ring.length; distance *= 2) {
    selected.add(ring[(position + distance) % ring.length]);
    selected.add(ring[(position - distance + ring.length) % ring.length]);
  }
  selected.delete(self);
  return selected;
}

function byHash(left: string, right: string): number {
  const difference = common.hash32(left) - common.hash32(right);
  if (difference !== 0) return difference;
  return left < right ? -1 : 1;
}
