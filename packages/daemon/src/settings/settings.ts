import * as zod from "zod";

/** Role of a process: it serves callers, or runs beside a back end. */
export enum Role {
  Entry = "entry",
  Upstream = "upstream",
}

/**
 * Kind of back end on an upstream host: an engine of a model, or an HTTP
 * service.
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
  .string({ error: "give the SHA-256 of a key" })
  .regex(/^[0-9a-f]{64}$/, {
    error: "give the SHA-256 of the key as 64 hexadecimal digits",
  });

/** Certificate and key of a listener, as PEM files. */
const TLS = zod.strictObject({
  certificateFile: text("the certificate's PEM file"),
  keyFile: text("the key's PEM file"),
});

/**
 * Address and port on which a process listens. Without TLS the address must be
 * a loopback one, because requests carry keys.
 */
export const LISTENER = zod
  .strictObject({
    address: text("an IP address").default("127.0.0.1"),
    port,
    tls: TLS.optional(),
  })
  .refine((listener) => listener.tls || LOOPBACK.has(listener.address), {
    error: "give tls, or listen on 127.0.0.1: keys must not cross in the clear",
    path: ["address"],
  });

/** Timings, in milliseconds. */
export const TIMING = zod.strictObject({
  heartbeat: milliseconds(250).meta({
    description: "Time between heartbeats.",
  }),
  silentAfter: milliseconds(1_000).meta({
    description: "Time without a message after which a link is replaced.",
  }),
  connectTimeout: milliseconds(1_000),
  settleAfter: milliseconds(3_000).meta({
    description:
      "Time without a link to its runner after which an attempt is given up.",
  }),
  orphanAfter: milliseconds(10_000).meta({
    description:
      "Time without a link to its entry after which a repeatable attempt is cancelled.",
  }),
  callerStall: milliseconds(30_000).meta({
    description: "Time that a caller may go without accepting any bytes.",
  }),
  storeTimeout: milliseconds(1_000),
  storePatience: milliseconds(5_000).meta({
    description:
      "Time for which a write is repeated while its outcome is unknown.",
  }),
  hostListPeriod: milliseconds(1_000),
  configurationPoll: milliseconds(1_000),
  inForceTimeout: milliseconds(5_000).meta({
    description:
      "Time that an operator's call waits until a change is in force everywhere.",
  }),
  isolatedAfter: milliseconds(4_000).meta({
    description:
      "Time without a message from any peer or the store after which work is refused.",
  }),
  suspectAfter: milliseconds(2_000),
  goneAfter: milliseconds(5_000),
  progressTimeout: milliseconds(30_000).meta({
    description:
      "Time without output of an engine or service after which a call fails.",
  }),
  loadPeriod: milliseconds(50),
  drainTimeout: milliseconds(120_000).meta({
    description: "Longest time a planned stop may take.",
  }),
  drainNotice: milliseconds(6_000).meta({
    description:
      "Time for which an entry accepts work after it left the entry list; longer than callers cache the list.",
  }),
  claimRetention: milliseconds(86_400_000).meta({
    description: "Time for which an idempotency key is remembered.",
  }),
  claimRemovalPeriod: milliseconds(10_000).meta({
    description: "Time between removals of batches of expired claims.",
  }),
  leaseDuration: milliseconds(3_000),
});

const common = {
  $schema: zod.string().optional(),
  host: text("the host's name"),
  place: text("the place (data centre)"),
  region: text("the region"),
  processKey: text("the key between own processes").min(16, {
    error: "give a process key of at least 16 characters",
  }),
  operatorKeyHashes: zod.array(keyHash).default([]).meta({
    description:
      "Operators that are accepted in addition to those of the configuration.",
  }),
  metrics: zod
    .strictObject({ address: text("an IP address"), port })
    .optional(),
  certificateAuthorityFile: zod.string().optional(),
  timing: TIMING.prefault({}),
  historyFile: zod.string().optional().meta({
    description: "Records events for the history checkers; for tests only.",
  }),
};

const platform = zod.strictObject({
  url,
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

/** Back end on the same host as an upstream process. */
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
  service: text("the service's name"),
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
