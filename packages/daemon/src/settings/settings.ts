import * as zod from "zod";

/** Role of a process. */
export enum Role {
  Entry = "entry",
  Upstream = "upstream",
}

/** What kind of back end an upstream host has. */
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
const milliseconds = (standard: number) =>
  zod
    .number({ error: "give milliseconds as a number" })
    .int({ error: "give whole milliseconds" })
    .min(1, { error: "give at least 1 ms" })
    .max(86_400_000, { error: "give at most a day" })
    .default(standard);
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

/** Where a process listens. Without TLS only loopback is allowed. */
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
  heartbeat: milliseconds(250).meta({ description: "Between heartbeats." }),
  silentAfter: milliseconds(1_000).meta({
    description: "Silence after which a link is replaced.",
  }),
  connectTimeout: milliseconds(1_000),
  settleAfter: milliseconds(3_000).meta({
    description: "Time without a link after which an attempt is given up.",
  }),
  orphanAfter: milliseconds(10_000).meta({
    description: "Time without its entry after which an attempt is cancelled.",
  }),
  callerStall: milliseconds(30_000).meta({
    description: "Time a caller may take no bytes.",
  }),
  storeTimeout: milliseconds(1_000),
  storePatience: milliseconds(5_000).meta({
    description: "Time to repeat a write of unknown outcome.",
  }),
  hostListPeriod: milliseconds(1_000),
  configurationPoll: milliseconds(1_000),
  inForceTimeout: milliseconds(5_000).meta({
    description: "Time an operator's call waits for all processes.",
  }),
  isolatedAfter: milliseconds(4_000).meta({
    description: "Time without peer and store after which work is refused.",
  }),
  suspectAfter: milliseconds(2_000),
  goneAfter: milliseconds(5_000),
  progressTimeout: milliseconds(30_000).meta({
    description: "Silence of an engine or service that breaks a call.",
  }),
  loadPeriod: milliseconds(50),
  drainTimeout: milliseconds(120_000).meta({
    description: "Longest time a planned stop may take.",
  }),
  drainNotice: milliseconds(6_000).meta({
    description:
      "Time an entry still takes work after it left the entry list; longer than callers keep the list.",
  }),
  claimRetention: milliseconds(86_400_000).meta({
    description: "Time for which an idempotency key is remembered.",
  }),
  claimRemovalPeriod: milliseconds(10_000).meta({
    description: "Time between batches of claims removed.",
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
    description: "Operators accepted besides those of the configuration.",
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
    .meta({ description: "URLs told to others, if not the listeners' own." }),
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
        description: "Whether the engine refuses old fencing numbers itself.",
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
