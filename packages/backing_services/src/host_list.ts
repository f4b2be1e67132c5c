import * as neverthrow from "neverthrow";
import * as httpClient from "./http_client.ts";

/** What runs on a host. */
export enum HostRole {
  Entry = "entry",
  Upstream = "upstream",
}

/** What the platform says of a host. */
export enum HostState {
  Live = "live",
  Leaving = "leaving",
}

/** One host of the platform's list, which lags behind the truth. */
export interface Host {
  name: string;
  role: HostRole;
  place: string;
  region: string;
  state: HostState;
  /** Where other processes of the system reach it. */
  linkUrl: string;
  /** Where callers reach it; empty for upstream hosts. */
  callerUrl: string;
  /** Service run there; empty for entry hosts. */
  service: string;
  /** Group whose rank runs there; empty when there is none. */
  group: string;
}

/** The list as read, with the bytes that reading it took. */
export type ReadHosts =
  | { changed: true; hosts: Host[]; bytes: number }
  /** The same as at the last read. */
  | { changed: false };

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

/** The list could not be read. */
export interface HostListUnavailable {
  kind: "host-list-unavailable";
  reason: string;
}

/** The platform's lagging list of live and leaving hosts. */
export interface HostList {
  read(): Promise<neverthrow.Result<ReadHosts, HostListUnavailable>>;
}

/** The host list over HTTP. */
export class HttpHostList implements HostList {
  #entityTag = "";

  constructor(readonly client: httpClient.HttpClient) {}

  /**
   * Reads the list if it is another than last time: hundreds of entries read a
   * list of hundreds of kilobytes that changes a few times an hour.
   */
  async read(): Promise<neverthrow.Result<ReadHosts, HostListUnavailable>> {
    const answer = await this.client.request("GET", "/hosts", undefined, {
      ifNoneMatch: this.#entityTag,
    });
    if (answer.isErr()) return unavailable(answer.error.reason);
    const { status, body, entityTag } = answer.value;
    switch (status) {
      case STATUS_NOT_MODIFIED:
        return neverthrow.ok({ changed: false });
      case STATUS_OK: {
        const hosts = JSON.parse(body) as Host[];
        this.#entityTag = entityTag;
        return neverthrow.ok({ changed: true, hosts, bytes: body.length });
      }
      default:
        return unavailable(`status ${status}`);
    }
  }
}

function unavailable(
  reason: string,
): neverthrow.Result<ReadHosts, HostListUnavailable> {
  return neverthrow.err({ kind: "host-list-unavailable", reason });
}
