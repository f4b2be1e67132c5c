import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import type * as zod from "zod";

/** Operator's key used in tests and the demo. */
export const OPERATOR_KEY = "operator-key-for-tests";
/** Key between own processes used in tests and the demo. */
export const PROCESS_KEY = "process-key-for-tests";

/** Key of a client account used in tests and the demo. */
export function accountKey(name: string): string {
  return `account-key-${name}`;
}

/** A configuration as written by an operator. */
export type DocumentInput = zod.input<typeof configuration.DOCUMENT>;

/** A small valid configuration. */
export function testConfiguration(
  change: Partial<DocumentInput> = {},
): DocumentInput {
  const { ServiceKind, PresetKind } = configuration;
  return {
    operators: [{ name: "ana", keyHash: common.hashKey(OPERATOR_KEY) }],
    accounts: ["counter", "driver", "hostel"].map((name) => ({
      name,
      keyHash: common.hashKey(accountKey(name)),
      requestsPerSecond: 1_000,
      tokensPerSecond: 1_000_000,
    })),
    services: [
      { kind: ServiceKind.Model, name: "model" },
      {
        kind: ServiceKind.Plain,
        name: "plain",
        routes: [
          { method: "GET", pathPrefix: "/", repeatable: true },
          { method: "POST", pathPrefix: "/confirm", repeatable: false },
          { method: "POST", pathPrefix: "/query", repeatable: true },
        ],
      },
    ],
    presets: [
      { name: "ordinary", kind: PresetKind.Ordinary },
      { name: "peak", kind: PresetKind.Peak },
      {
        name: "maintenance",
        kind: PresetKind.Maintenance,
        retryAfterSeconds: 1,
      },
    ],
    presetInForce: "ordinary",
    ...change,
  };
}

/** A configuration under which experts move often and for nearly any gain. */
export function eagerPlacement(
  experts: zod.input<typeof configuration.EXPERTS>,
): DocumentInput {
  const document = testConfiguration();
  const placement = { periodSeconds: 0.3, exchangeRate: 0.000_001 };
  return {
    ...document,
    services: document.services.map((service) =>
      service.kind === configuration.ServiceKind.Model
        ? { ...service, experts }
        : service,
    ),
    presets: document.presets.map((preset) => ({ ...preset, placement })),
  };
}

/** The same configuration with runners that hold few requests at once. */
export function smallRunners(
  document: DocumentInput,
  runnerConcurrency: number,
): DocumentInput {
  const services = document.services.map((service) => ({
    ...service,
    runnerConcurrency,
  }));
  return { ...document, services };
}
