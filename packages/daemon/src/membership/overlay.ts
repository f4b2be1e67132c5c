import * as common from "@geraniumkeel/common";

/** Up to this many entries, each links to every other. */
export const FULL_MESH_LIMIT = 8;

/**
 * The entries that `self` should have a link with. Beyond a full mesh they
 * stand on a ring in hash order, and each links to those 1, 2, 4, 8 … places
 * on, and so to those as far back: 2·log2(n) links, and news crosses n entries
 * in at most log2(n) hops. All entries with the same view choose the same links.
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
