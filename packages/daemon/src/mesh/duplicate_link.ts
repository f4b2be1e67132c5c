import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as meshPeer from "./mesh_peer.ts";

/**
 * Time from the opening of a link within which a second link to the same entry
 * counts as dialled at the same moment. It is longer than a dial takes at a
 * process that just starts. A second link that comes later was dialled because
 * the other end has lost the first one.
 */
const SAME_MOMENT_MILLISECONDS = 1_500;

/**
 * Whether a link stays in use when a second one to the same entry opens, so that
 * the second one is closed; otherwise the first one is. Two entries may dial
 * each other at the same moment. Both ends then keep the link that was dialled
 * by the entry with the earlier name, in whatever order they see the two.
 */
export function keepsEarlierLink(parameters: {
  self: string;
  earlier: meshPeer.MeshPeer;
  later: meshPeer.MeshPeer;
}): boolean {
  const { self, earlier, later } = parameters;
  if (!earlier.open || earlier.incarnation !== later.incarnation) return false;
  if (common.now() - earlier.openedAt > SAME_MOMENT_MILLISECONDS) return false;
  const preferred =
    self < earlier.member.host ? wire.LinkSide.Dialled : wire.LinkSide.Accepted;
  return earlier.link.side === preferred && later.link.side !== preferred;
}
