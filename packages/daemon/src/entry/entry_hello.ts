import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as settingsModule from "../settings/settings.ts";

/** What an entry says first on every link. */
export function entryHello(parameters: {
  settings: settingsModule.EntrySettings;
  incarnation: string;
  linkNumber: number;
  revision: number;
}): wire.Hello {
  const { settings, incarnation, linkNumber, revision } = parameters;
  return {
    kind: wire.MessageKind.Hello,
    role: wire.PeerRole.Entry,
    host: settings.host,
    place: settings.place,
    incarnation,
    linkNumber,
    revision,
    clock: common.now(),
    service: "",
    group: "",
    rank: 0,
    groupSize: 0,
    leaving: false,
  };
}
