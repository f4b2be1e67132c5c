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

/** What an end does when a second link to the same entry opens. */
export enum DuplicateChoice {
  /** Closes the second link. */
  CloseLater = "close-later",
  /** Uses the second link and closes the first one. */
  CloseEarlier = "close-earlier",
  /** Uses the second link, and leaves it to the other end to close one. */
  LeaveOpen = "leave-open",
}

/**
 * What to do when a second link to the same entry opens. Two entries may dial
 * each other at the same moment. Both ends then keep the link that was dialled
 * by the entry with the earlier name, in whatever order they see the two.
 *
 * Of two links dialled by the same end, that end alone closes one, the earlier
 * one as it sees them. The ends may see them in different orders, and if both
 * chose they could close both links. The second link is never refused, as that
 * end may have lost the first one.
 */
export function chooseLink(parameters: {
  self: string;
  earlier: meshPeer.MeshPeer;
  later: meshPeer.MeshPeer;
}): DuplicateChoice {
  const { self, earlier, later } = parameters;
  if (!earlier.open || earlier.incarnation !== later.incarnation)
    return DuplicateChoice.CloseEarlier;
  if (earlier.link.side === later.link.side) {
    switch (later.link.side) {
      case wire.LinkSide.Dialled:
        return DuplicateChoice.CloseEarlier;
      case wire.LinkSide.Accepted:
        return DuplicateChoice.LeaveOpen;
    }
  }
  if (common.now() - earlier.openedAt > SAME_MOMENT_MILLISECONDS)
    return DuplicateChoice.CloseEarlier;
  const preferred =
    self < earlier.member.host ? wire.LinkSide.Dialled : wire.LinkSide.Accepted;
  return earlier.link.side === preferred
    ? DuplicateChoice.CloseLater
    : DuplicateChoice.CloseEarlier;
}
