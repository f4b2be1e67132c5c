import * as capacityAttempts from "./capacity_attempts.ts";
import * as capacityCredit from "./capacity_credit.ts";
import * as capacityLinks from "./capacity_links.ts";
import * as capacityMembers from "./capacity_members.ts";
import * as capacityState from "./capacity_state.ts";
import * as capacityTable from "./capacity_table.ts";
import * as capacityUpstream from "./capacity_upstream.ts";

/** Slopes measured here, and what they come to at the target's size. */
export async function measureCapacity(): Promise<object> {
  const members = await capacityMembers.measureMembers();
  const upstream = await capacityUpstream.measureUpstream();
  const state = capacityState.measureState();
  const credit = capacityCredit.measureCredit();
  const attempts = capacityAttempts.measureAttempts();
  const links = await capacityLinks.measureLinks();
  const upstreamLinks = await capacityLinks.measureUpstreamLinks();
  const table = capacityTable.capacityTable({
    members,
    upstream,
    state,
    credit,
    links,
    upstreamLinks,
  });
  return {
    members,
    upstream,
    links,
    upstreamLinks,
    state,
    credit,
    attempts,
    table,
  };
}
