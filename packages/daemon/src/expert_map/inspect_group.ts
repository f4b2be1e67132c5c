import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";

/** What a look at all ranks of a group gave. */
export interface GroupView {
  /** Tokens by layer and expert since the last look. */
  tokens: number[][];
  /** Version in force; `undefined` when ranks differ, as in a switch. */
  version: number | undefined;
  /** Whether a rank holds although no switch is under way. */
  held: boolean;
}

/** Reads the expert load off all ranks; `undefined` if one does not answer. */
export async function inspectGroup(
  term: groupTerm.GroupTerm,
): Promise<GroupView | undefined> {
  const { group, fencing, sessions } = term;
  const order = { kind: wire.OrderKind.Inspect, group, fencing } as const;
  const replies = await Promise.all(sessions.map((one) => one.give(order)));
  const states = replies.flatMap((reply) => (reply.done ? reply.state : []));
  if (states.length < sessions.length) return undefined;
  const versions = new Set(states.map(({ mapVersion }) => mapVersion));
  return {
    tokens: sumTokens(states.map(({ expertTokens }) => expertTokens)),
    version: versions.size === 1 ? states[0].mapVersion : undefined,
    held: states.some(({ held }) => held),
  };
}

function sumTokens(counts: number[][][]): number[][] {
  return counts[0].map((layer, index) =>
    layer.map((_, expert) =>
      counts.reduce((sum, one) => sum + one[index][expert], 0),
    ),
  );
}
