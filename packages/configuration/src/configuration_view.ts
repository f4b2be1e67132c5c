import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import type * as schema from "./schema.ts";
import type * as sectionReader from "./section_reader.ts";
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

  private constructor(
    readonly head: Head,
    readonly texts: sectionsModule.Sections,
    document: schema.Document,
    preset: schema.Preset,
  ) {
    this.document = document;
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

  /** Reads the sections of a head; the error tells why they can't be used. */
  static read(
    head: Head,
    texts: sectionsModule.Sections,
    reader?: sectionReader.SectionReader,
  ): neverthrow.Result<ConfigurationView, common.InputProblem[]> {
    const { presetInForce } = head;
    return sectionsModule
      .joinDocument(texts, presetInForce, reader)
      .andThen((document) => {
        const preset = document.presets.find(
          ({ name }) => name === presetInForce,
        );
        if (preset) {
          return neverthrow.ok(
            new ConfigurationView(head, texts, document, preset),
          );
        }
        const value = JSON.stringify(presetInForce);
        const fix = "name one of the presets";
        return neverthrow.err([{ path: "presetInForce", value, fix }]);
      });
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
