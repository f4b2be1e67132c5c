/**
 * Settings of a daemon process: the file that the process reads once at its
 * start. They are not the configuration, the document that operators change
 * while the entries run and that all entries share.
 */
import * as zod from "zod";
import * as hostLimits from "./host_limits.ts";

/**
 * Role of a process. An entry accepts requests from callers. An upstream
 * process runs on the host of one back end and passes requests from entries to
 * it.
 */
export enum Role {
  Entry = "entry",
  Upstream = "upstream",
}

/**
 * Kind of back end on an upstream host: an engine that serves a model, or a
 * plain HTTP service.
 */
export enum BackEndKind {
  Model = "model",
  Plain = "plain",
}

const LOOPBACK = new Set(["127.0.0.1", "::1", "localhost"]);

const port = zod
  .number({ error: "give a port number" })
  .int({ error: "give a port number" })
  .min(0, { error: "give a port from 0 to 65535 (0: any free one)" })
  .max(65_535, { error: "give a port from 0 to 65535" });
const text = (what: string) =>
  zod
    .string({ error: `give ${what}` })
    .min(1, { error: `give ${what}, not empty` });
const url = zod.string({ error: "give a URL" }).regex(/^https?:\/\/[^/]+$/, {
  error: "give http:// or https:// with host and port and no path",
});
const milliseconds = (defaultValue: number) =>
  zod
    .number({ error: "give milliseconds as a number" })
    .int({ error: "give whole milliseconds" })
    .min(1, { error: "give at least 1 ms" })
    .max(86_400_000, { error: "give at most a day" })
    .default(defaultValue);
const keyHash = zod
  .string({ error: "give the SHA-256 of an operator's key" })
  .regex(/^[0-9a-f]{64}$/, {
    error: "give the SHA-256 of the operator's key as 64 hexadecimal digits",
  });

/** Certificate and private key of a listener, as PEM files. */
const TLS = zod.strictObject({
  certificateFile: text("the certificate's PEM file"),
  keyFile: text("the private key's PEM file"),
});

/**
 * Address and port on which a process listens. Without TLS the address must be
 * a loopback one, because requests carry the keys of callers, operators and
 * processes.
 */
export const LISTENER = zod
  .strictObject({
    address: text("an IP address").default("127.0.0.1"),
    port,
    tls: TLS.optional(),
  })
  .refine((listener) => listener.tls || LOOPBACK.has(listener.address), {
    error:
      "give tls, or listen on 127.0.0.1: keys must not be sent unencrypted",
    path: ["address"],
  });

/**
 * Timings, in milliseconds. A link here is one between two entries or between
 * an entry and an upstream process. Mesh links have fixed timings, see
 * `LINK_TIMING` in `mesh/entry_mesh.ts`.
 */
export const TIMING = zod.strictObject({
  heartbeat: milliseconds(250).meta({
    description: "Time between heartbeats on a link.",
  }),
  silentAfter: milliseconds(1_000).meta({
    description:
      "Time without a message on a link after which the link is closed and opened again.",
  }),
  /** Longest time to open a link. */
  connectTimeout: milliseconds(1_000),
  settleAfter: milliseconds(3_000).meta({
    description:
      "Time without a link to a runner after which an entry gives up the attempts that it has sent there.",
  }),
  orphanAfter: milliseconds(10_000).meta({
    description:
      "Time without a link to an entry after which an upstream process cancels the entry's attempts of requests that may be repeated.",
  }),
  bodyTimeout: milliseconds(30_000).meta({
    description:
      "Longest time for the body of a caller's request to come to its end.",
  }),
  callerStall: milliseconds(30_000).meta({
    description: "Time that a caller may go without accepting any bytes.",
  }),
  /** Longest wait for an answer of the platform. */
  storeTimeout: milliseconds(1_000),
  storePatience: milliseconds(5_000).meta({
    description:
      "Time for which an entry repeats a write to the store while the outcome is unknown.",
  }),
  /** Shortest time between reads of the platform's list of hosts. */
  hostListPeriod: milliseconds(1_000),
  /**
   * Mean time between reads of the configuration's head from the store, except
   * in large deployments, which read it less often.
   */
  configurationPoll: milliseconds(1_000),
  inForceTimeout: milliseconds(5_000).meta({
    description:
      "Longest time that an operator's call waits until a change is in force at all entries; then the answer lists the entries that lack it.",
  }),
  isolatedAfter: milliseconds(4_000).meta({
    description:
      "Time after which an entry refuses work if it has received nothing from the other entries and nothing from the store.",
  }),
  /**
   * Time without a link to a neighbour after which an entry marks the neighbour
   * as suspect.
   */
  suspectAfter: milliseconds(2_000),
  /**
   * Time for which an entry is suspect before it counts as departed. Also the
   * time for which a linked runner that the host list lacks is not removed.
   */
  goneAfter: milliseconds(5_000),
  progressTimeout: milliseconds(30_000).meta({
    description:
      "Time without output of an engine or service after which a call fails.",
  }),
  /**
   * Shortest time between two reports of a runner's load from its upstream
   * process to the entries.
   */
  loadPeriod: milliseconds(50),
  drainTimeout: milliseconds(120_000).meta({
    description:
      "Longest time a planned stop may take, the notice included. An entry takes no request that may run for longer than what is left of it.",
  }),
  drainNotice: milliseconds(6_000).meta({
    description:
      "Time for which a stopping entry still accepts work after it was removed from the list of entries that callers use. Give more than 5000, because callers cache the list for 5 s.",
  }),
  claimRetention: milliseconds(86_400_000).meta({
    description: "Time for which an idempotency key is remembered.",
  }),
  claimRemovalPeriod: milliseconds(10_000).meta({
    description: "Time between removals of batches of expired claims.",
  }),
  /** Duration of the lease by which an entry coordinates a group. */
  leaseDuration: milliseconds(3_000),
});

const common = {
  $schema: zod.string().optional(),
  host: text("the host's name"),
  place: text("the place (data centre)"),
  region: text("the region"),
  processKey: text(
    "the key that the deployment's processes present to each other",
  ).min(16, {
    error: "give a process key of at least 16 characters",
  }),
  operatorKeyHashes: zod.array(keyHash).default([]).meta({
    description:
      "SHA-256 of the keys of operators that are accepted in addition to the operators in the configuration.",
  }),
  metrics: zod
    .strictObject({ address: text("an IP address"), port })
    .optional(),
  /**
   * PEM file of the certificate authority that an entry trusts when it opens
   * links.
   */
  certificateAuthorityFile: zod.string().optional(),
  timing: TIMING.prefault({}),
  limits: hostLimits.HOST_LIMITS.prefault({}),
  historyFile: zod.string().optional().meta({
    description:
      "File to which the process appends a line of JSON for each event, so that tests can check the history of events; for tests only.",
  }),
};

/**
 * The platform: the HTTP service that lists the deployment's hosts and stores
 * the table and the objects. The table part is the store.
 */
const platform = zod.strictObject({
  url,
  /** Key that the entry presents to the platform. */
  key: zod.string().optional(),
});

/** Settings of an entry host's process. */
export const ENTRY_SETTINGS = zod.strictObject({
  role: zod.literal(Role.Entry),
  ...common,
  platform,
  advertise: zod
    .strictObject({ callerUrl: url.optional(), linkUrl: url.optional() })
    .prefault({})
    .meta({
      description:
        "URLs at which others reach this process, if not those of its listeners.",
    }),
  listen: zod.strictObject({
    callers: LISTENER,
    links: LISTENER,
    operators: LISTENER,
  }),
});

/**
 * Back end to which an upstream process on the same host passes requests:
 * an engine, as one rank of a group, or a plain HTTP service.
 */
export const BACK_END = zod.discriminatedUnion(
  "kind",
  [
    zod.strictObject({
      kind: zod.literal(BackEndKind.Model),
      url,
      group: text("the group's name"),
      rank: zod
        .number({ error: "give the rank" })
        .int({ error: "give the rank as a whole number" })
        .min(0, { error: "give a rank of at least 0" }),
      groupSize: zod
        .number({ error: "give the number of ranks" })
        .int({ error: "give the number of ranks" })
        .min(1, { error: "give at least 1 rank" }),
      checksFencing: zod.boolean().default(false).meta({
        description: "Whether the engine itself refuses old fencing numbers.",
      }),
    }),
    zod.strictObject({ kind: zod.literal(BackEndKind.Plain), url }),
  ],
  { error: 'use kind "model" or "plain"' },
);

/** Settings of an upstream host's process. */
export const UPSTREAM_SETTINGS = zod.strictObject({
  role: zod.literal(Role.Upstream),
  ...common,
  service: text("the name of the service that the back end belongs to"),
  backEnd: BACK_END,
  listen: zod.strictObject({ links: LISTENER, operators: LISTENER }),
});

/** Settings of a process. */
export const SETTINGS = zod.discriminatedUnion(
  "role",
  [ENTRY_SETTINGS, UPSTREAM_SETTINGS],
  { error: 'use role "entry" or "upstream"' },
);

/** See `LISTENER`. */
export type Listener = zod.infer<typeof LISTENER>;
/** See `TIMING`. */
export type Timing = zod.infer<typeof TIMING>;
/** See `ENTRY_SETTINGS`. */
export type EntrySettings = zod.infer<typeof ENTRY_SETTINGS>;
/** See `UPSTREAM_SETTINGS`. */
export type UpstreamSettings = zod.infer<typeof UPSTREAM_SETTINGS>;
/** See `SETTINGS`. */
export type Settings = zod.infer<typeof SETTINGS>;

/** JSON Schema of the settings, for editors. */
export function settingsJsonSchema(): object {
  return zod.toJSONSchema(SETTINGS, { io: "input" });
}
