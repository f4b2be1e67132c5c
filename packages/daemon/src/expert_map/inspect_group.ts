import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";

/** Combined state of all ranks of a group. */
export interface GroupInspection {
  /** Text tokens by layer and expert since the previous inspection. */
  tokens: number[][];
  /** Ranks of each expert by layer, as the ranks report them. */
  places: wire.ExpertPlaces;
  /**
   * Version of the map that all ranks use; `undefined` if ranks use different
   * ones, as they may during a switch.
   */
  version: number | undefined;
  /** Whether any rank holds. */
  held: boolean;
}

/**
 * Reads the map version and the experts of every rank, with the number of text
 * tokens that each expert has processed. Each rank restarts its counts of
 * tokens when it is read. Returns `undefined` if some rank did not confirm the
 * order.
 */
export async function inspectGroup(
  term: groupTerm.GroupTerm,
): Promise<GroupInspection | undefined> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Inspect;
  const states = await term.orderAndReadStates({ kind, group, fencing });
  if (!states) return undefined;
  const versions = new Set(states.map(({ mapVersion }) => mapVersion));
  const counts = states.map(({ expertTokens }) => expertTokens);
  return {
    ...mergeCounts(counts),
    version: versions.size === 1 ? states[0].mapVersion : undefined,
    held: states.some(({ held }) => held),
  };
}

/**
 * Merges the counts of all ranks. A rank reports a count for each expert that
 * it has, also if the count is zero. The counts therefore show the ranks of
 * every expert as well.
 */
function mergeCounts(
  counts: wire.ExpertCount[][][],
): Pick<GroupInspection, "tokens" | "places"> {
  const layers = counts[0].length;
  const tokens: number[][] = Array.from({ length: layers }, () => []);
  const places: number[][][] = Array.from({ length: layers }, () => []);
  counts.forEach((byLayer, rank) => {
    byLayer.forEach((experts, layer) => {
      for (const [expert, count] of experts) {
        tokens[layer][expert] = (tokens[layer][expert] ?? 0) + count;
        (places[layer][expert] ??= []).push(rank);
      }
    });
  });
  return { tokens, places };
}
