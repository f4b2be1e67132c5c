import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";

/** What a look at all ranks of a group gave. */
export interface GroupInspection {
  /** Tokens by layer and expert since the last look. */
  tokens: number[][];
  /** Ranks of each expert by layer, as the ranks themselves tell. */
  places: wire.ExpertPlaces;
  /** Version in force; `undefined` when ranks differ, as in a switch. */
  version: number | undefined;
  /** Whether a rank holds although no switch is under way. */
  held: boolean;
}

/** Reads the expert load off all ranks; `undefined` if one does not answer. */
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

/** Puts together what each rank tells of its own experts. */
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
