import * as common from "@geraniumkeel/common";
import * as schema from "./schema.ts";
import * as sectionsModule from "./sections.ts";

/** Head of the document: which sections at which revisions, and the preset. */
export interface Head {
  revision: number;
  nonce: string;
  presetInForce: string;
  sections: Record<string, number>;
}

/** An immutable configuration with its look-ups. */
export class ConfigurationView {
  readonly document: schema.Document;
  readonly preset: schema.Preset;
  readonly #accounts = new Map<string, schema.Account>();
  readonly #accountsByKey = new Map<string, schema.Account>();
  readonly #operators = new Map<string, schema.Operator>();
  readonly #services = new Map<string, schema.Service>();
  /** Sum of all accounts' request limits. */
  #requestsPerSecond = 0;

  constructor(
    readonly head: Head,
    readonly texts: sectionsModule.Sections,
  ) {
    this.document = sectionsModule.joinDocument(texts, head.presetInForce);
    const preset = this.document.presets.find(
      (preset) => preset.name === head.presetInForce,
    );
    if (!preset) throw new Error(`no preset ${head.presetInForce}`);
    this.preset = preset;
    for (const account of this.document.accounts) {
      this.#accounts.set(account.name, account);
      this.#requestsPerSecond += account.requestsPerSecond;
      this.#accountsByKey.set(account.keyHash, account);
    }
    for (const operator of this.document.operators) {
      this.#operators.set(operator.keyHash, operator);
    }
    for (const service of this.document.services) {
      this.#services.set(service.name, service);
    }
  }

  /** Account that a key proves, if any. */
  accountOfKey(key: string): schema.Account | undefined {
    // Looked up by hash, so time tells nothing about any stored key.
    return this.#accountsByKey.get(common.hashKey(key));
  }

  /** Operator that a key proves, if any. */
  operatorOfKey(key: string): schema.Operator | undefined {
    return this.#operators.get(common.hashKey(key));
  }

  /** Account by name. */
  account(name: string): schema.Account | undefined {
    return this.#accounts.get(name);
  }

  /** Part of all accounts' request limits that is one account's. */
  shareOf(account: string): number {
    const own = this.account(account)?.requestsPerSecond ?? 0;
    return own / this.#requestsPerSecond;
  }

  /** Service by name. */
  service(name: string): schema.Service | undefined {
    return this.#services.get(name);
  }
}
