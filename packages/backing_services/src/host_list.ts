import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
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

const NAMED = zod.looseObject({ name: zod.string().min(1) });
/** A text that a list may leave out. */
const TEXT = zod.string().default("");
const HOST: zod.ZodType<Host> = zod.object({
  name: zod.string().min(1),
  role: zod.enum(HostRole),
  place: TEXT,
  region: TEXT,
  state: zod.enum(HostState),
  linkUrl: zod.string(),
  callerUrl: TEXT,
  service: TEXT,
  group: TEXT,
});

/** A host of the list that can't be read. */
export interface UnreadableHost {
  /** Its name, or its place in the list if it has none. */
  key: string;
  text: string;
  problems: common.InputProblem[];
}

/** The list as read, with the bytes that reading it took. */
export type ReadHosts =
  | {
      changed: true;
      hosts: Host[];
      /** Known hosts among them are in `hosts` as they were last read. */
      unreadable: UnreadableHost[];
      bytes: number;
    }
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
  #known = new Map<string, Host>();

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
        const read = common.validateJson(zod.array(zod.unknown()), body);
        if (read.isErr()) {
          const problems = common.describeProblems(read.error);
          return unavailable(`unreadable list: ${problems}`);
        }
        this.#entityTag = entityTag;
        const { hosts, unreadable } = this.#readHosts(read.value);
        this.#known = new Map(hosts.map((host) => [host.name, host]));
        const bytes = body.length;
        return neverthrow.ok({ changed: true, hosts, unreadable, bytes });
      }
      default:
        return unavailable(`status ${status}`);
    }
  }

  /** A host that can't be read stays as it was, so that it costs nobody else. */
  #readHosts(items: unknown[]): {
    hosts: Host[];
    unreadable: UnreadableHost[];
  } {
    const hosts: Host[] = [];
    const unreadable: UnreadableHost[] = [];
    items.forEach((item, index) => {
      const read = common.validate(HOST, item);
      if (read.isOk()) return void hosts.push(read.value);
      const named = NAMED.safeParse(item);
      const name = named.success ? named.data.name : undefined;
      const known = name === undefined ? undefined : this.#known.get(name);
      if (known) hosts.push(known);
      unreadable.push({
        key: name ?? `host ${index}`,
        text: JSON.stringify(item),
        problems: read.error,
      });
    });
    return { hosts, unreadable };
  }
}

function unavailable(
  reason: string,
): neverthrow.Result<ReadHosts, HostListUnavailable> {
  return neverthrow.err({ kind: "host-list-unavailable", reason });
}
