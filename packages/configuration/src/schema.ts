import * as zod from "zod";

const NAME = zod
  .string({ error: "give a text" })
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
    error: "use 1 to 63 of a-z, 0-9 and -, starting with a letter or digit",
  })
  .meta({ description: "Name: 1 to 63 of a-z, 0-9 and -." });
const KEY_HASH = zod
  .string({ error: "give the SHA-256 of the key" })
  .regex(/^[0-9a-f]{64}$/, {
    error: "give the SHA-256 of the key as 64 hexadecimal digits",
  })
  .meta({ description: "SHA-256 of the access key; keys are never stored." });

const positive = (what: string, most: number) =>
  zod
    .number({ error: `give ${what} as a number` })
    .positive({ error: `give ${what} above 0` })
    .max(most, { error: `give ${what} of at most ${most}` });
const whole = (what: string, least: number, most: number) =>
  zod
    .number({ error: `give ${what} as a whole number` })
    .int({ error: `give ${what} as a whole number` })
    .min(least, { error: `give ${what} of at least ${least}` })
    .max(most, { error: `give ${what} of at most ${most}` });

/** An operator and the hash of the key that proves it. */
export const OPERATOR = zod.strictObject({ name: NAME, keyHash: KEY_HASH });

/** A client account with its limits, which hold over all entry hosts together. */
export const ACCOUNT = zod.strictObject({
  name: NAME,
  keyHash: KEY_HASH,
  requestsPerSecond: positive("requests a second", 1e6),
  tokensPerSecond: positive("tokens a second", 1e9),
  burstSeconds: positive("seconds of burst", 3_600)
    .default(10)
    .meta({ description: "Seconds of the limits that may come at once." }),
  weight: positive("a weight", 1_000)
    .default(1)
    .meta({ description: "Share of service when requests queue." }),
});

/** What kind of back end serves a service. */
export enum ServiceKind {
  Model = "model",
  Plain = "plain",
}

const TIMEOUT = whole("milliseconds", 10, 3_600_000)
  .default(60_000)
  .meta({ description: "Deadline of a request that names none, in ms." });

/** What placing experts needs to know of a model. */
export const EXPERTS = zod.strictObject({
  slotsPerRank: whole("slots", 1, 4_096).meta({
    description: "Experts that a rank can hold in each layer.",
  }),
  megabytesPerExpert: positive("megabytes", 1e6).meta({
    description: "Weights of one expert of one layer.",
  }),
  tokenMilliseconds: positive("milliseconds", 1_000).meta({
    description: "Time a rank takes for one token of one expert.",
  }),
  megabytesPerSwitch: positive("megabytes", 1e9)
    .default(100_000)
    .meta({ description: "Most that one switch may load." }),
  switching: zod
    .enum(["at-step", "hold-all"], { error: 'use "at-step" or "hold-all"' })
    .default("at-step")
    .meta({ description: "Whether engines take orders for a step number." }),
});

/** A service of model engines. */
export const MODEL_SERVICE = zod.strictObject({
  kind: zod.literal(ServiceKind.Model),
  name: NAME,
  runnerConcurrency: whole("requests a runner", 1, 4_096).default(32).meta({
    description: "Requests of all entries that one runner may hold at once.",
  }),
  maximumTokens: whole("tokens", 1, 1_000_000)
    .default(4_096)
    .meta({ description: "Most tokens that one answer may have." }),
  queueLength: whole("requests", 0, 100_000)
    .default(2_000)
    .meta({ description: "Requests that may wait at one entry host." }),
  timeoutMilliseconds: TIMEOUT,
  experts: EXPERTS.optional(),
});

/** Whether calls by a method and path may be repeated. */
export const PLAIN_ROUTE = zod.strictObject({
  method: zod.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"], {
    error: "use GET, HEAD, POST, PUT, PATCH or DELETE",
  }),
  pathPrefix: zod
    .string({ error: "give a path" })
    .regex(/^\//, { error: "start the path with /" }),
  repeatable: zod.boolean({ error: "use true or false" }),
});

/** A plain service. A call that no route matches may not be repeated. */
export const PLAIN_SERVICE = zod.strictObject({
  kind: zod.literal(ServiceKind.Plain),
  name: NAME,
  runnerConcurrency: whole("requests a runner", 1, 4_096).default(64).meta({
    description:
      "Calls of all entries that one runner may hold at once; those with a streamed body are not counted out.",
  }),
  queueLength: whole("requests", 0, 100_000).default(2_000),
  timeoutMilliseconds: TIMEOUT,
  maximumBodyBytes: whole("bytes", 0, 16 * 1024 * 1024)
    .default(1024 * 1024)
    .meta({ description: "Largest request body in bytes." }),
  routes: zod.array(PLAIN_ROUTE).default([]),
});

/** Any service. */
export const SERVICE = zod.discriminatedUnion(
  "kind",
  [MODEL_SERVICE, PLAIN_SERVICE],
  { error: 'use kind "model" or "plain"' },
);

/** What a preset is for. */
export enum PresetKind {
  Ordinary = "ordinary",
  Peak = "peak",
  Maintenance = "maintenance",
}

/** How experts are moved while a preset is in force. */
export const PLACEMENT = zod.strictObject({
  enabled: zod.boolean({ error: "use true or false" }).default(true),
  periodSeconds: positive("seconds", 86_400)
    .default(30)
    .meta({ description: "Seconds between plans." }),
  exchangeRate: positive("an exchange rate", 1e9).default(1).meta({
    description:
      "Milliseconds of step time saved a second that repay one MB moved.",
  }),
  horizonSeconds: positive("seconds", 86_400)
    .default(600)
    .meta({ description: "Seconds over which a gain is counted." }),
  maximumSwitches: whole("switches at once", 1, 64).default(1),
});

const SURGE_RESERVE_ERROR = { error: "use a number from 0 to 0.9" };

/** Settings for one kind of day; exactly one preset is in force. */
export const PRESET = zod.strictObject({
  name: NAME,
  kind: zod.enum(PresetKind, {
    error: 'use kind "ordinary", "peak" or "maintenance"',
  }),
  limitScale: positive("a scale", 100)
    .default(1)
    .meta({ description: "Factor on all account limits." }),
  retryAfterSeconds: positive("seconds", 86_400)
    .default(2)
    .meta({ description: "Centre of the jittered Retry-After." }),
  surgeReserve: zod
    .number(SURGE_RESERVE_ERROR)
    .min(0, SURGE_RESERVE_ERROR)
    .max(0.9, SURGE_RESERVE_ERROR)
    .default(0.5)
    .meta({
      description:
        "Part of each runner's room that less urgent requests leave free shortly before and in a learned surge.",
    }),
  placement: PLACEMENT.prefault({}),
});

/** A data centre, as `place` in the settings of its hosts names it. */
export const DATA_CENTRE = zod
  .string({ error: "give the name of a data centre" })
  .min(1, { error: "give the name of a data centre" })
  .max(253, { error: "give a name of at most 253 characters" });

/** The whole configuration document. */
export const DOCUMENT = zod
  .strictObject({
    $schema: zod.string().optional(),
    operators: zod
      .array(OPERATOR, { error: "give a list of operators" })
      .min(1, { error: "name at least one operator, or nobody can change it" }),
    accounts: zod.array(ACCOUNT, { error: "give a list of accounts" }),
    services: zod.array(SERVICE, { error: "give a list of services" }),
    presets: zod
      .array(PRESET, { error: "give a list of presets" })
      .min(1, { error: "give at least one preset" }),
    presetInForce: NAME,
    evacuations: zod
      .array(DATA_CENTRE, { error: "give a list of data centres" })
      .default([])
      .meta({
        description: "Data centres whose runners get nothing new.",
      }),
  })
  .superRefine((document, context) => {
    checkUnique(document.operators, "operators", context);
    checkUnique(document.accounts, "accounts", context);
    checkUnique(document.services, "services", context);
    checkUnique(document.presets, "presets", context);
    checkUniqueKeys(document.accounts, context);
    const names = document.presets.map((preset) => preset.name);
    if (!names.includes(document.presetInForce)) {
      context.addIssue({
        code: "custom",
        path: ["presetInForce"],
        message: `name one of the presets: ${names.join(", ")}`,
      });
    }
  });

/** See `OPERATOR`. */
export type Operator = zod.infer<typeof OPERATOR>;
/** See `ACCOUNT`. */
export type Account = zod.infer<typeof ACCOUNT>;
/** See `MODEL_SERVICE`. */
export type ModelService = zod.infer<typeof MODEL_SERVICE>;
/** See `PLAIN_SERVICE`. */
export type PlainService = zod.infer<typeof PLAIN_SERVICE>;
/** See `EXPERTS`. */
export type Experts = zod.infer<typeof EXPERTS>;
/** See `SERVICE`. */
export type Service = zod.infer<typeof SERVICE>;
/** See `PRESET`. */
export type Preset = zod.infer<typeof PRESET>;
/** See `DOCUMENT`. */
export type Document = zod.infer<typeof DOCUMENT>;

interface Context {
  addIssue(issue: {
    code: "custom";
    path: PropertyKey[];
    message: string;
  }): void;
}

function checkUnique(
  items: { name: string }[],
  section: string,
  context: Context,
): void {
  const seen = new Set<string>();
  items.forEach((item, index) => {
    if (seen.has(item.name)) {
      context.addIssue({
        code: "custom",
        path: [section, index, "name"],
        message: "give each its own name",
      });
    }
    seen.add(item.name);
  });
}

function checkUniqueKeys(accounts: Account[], context: Context): void {
  const seen = new Set<string>();
  accounts.forEach((account, index) => {
    if (seen.has(account.keyHash)) {
      context.addIssue({
        code: "custom",
        path: ["accounts", index, "keyHash"],
        message: "give each account its own key",
      });
    }
    seen.add(account.keyHash);
  });
}

/** JSON Schema of the configuration document, for editors. */
export function configurationJsonSchema(): object {
  return zod.toJSONSchema(DOCUMENT, { io: "input" });
}
