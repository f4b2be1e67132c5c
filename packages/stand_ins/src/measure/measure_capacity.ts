import * as capacityMembers from "./capacity_members.ts";
import * as capacityState from "./capacity_state.ts";
import * as capacityTable from "./capacity_table.ts";
import * as capacityUpstream from "./capacity_upstream.ts";

/** Slopes measured here, and what they come to at the target's size. */
export async function measureCapacity(): Promise<object> {
  const members = await capacityMembers.measureMembers();
  const upstream = await capacityUpstream.measureUpstream();
  const state = capacityState.measureState();
  const table = capacityTable.capacityTable({ members, upstream, state });
  return { members, upstream, state, table };
}
