import * as common from "@geraniumkeel/common";
import * as schema from "./schema.ts";

/**
 * Accounts are spread over this many sections, so that a change of one among
 * thousands sends a small part of the document to every process.
 */
export const ACCOUNT_SECTIONS = 32;

const OPERATORS = "operators";
const SERVICES = "services";
const PRESETS = "presets";
const EVACUATIONS = "evacuations";

/** Text of every section by name. */
export type Sections = Record<string, string>;

/** Section that holds an account. */
export function accountSection(name: string): string {
  const number = common.hash32(name) % ACCOUNT_SECTIONS;
  return `accounts-${String(number).padStart(2, "0")}`;
}

/** Splits a document into sections; equal documents give equal texts. */
export function splitDocument(document: schema.Document): Sections {
  const accounts = new Map<string, schema.Account[]>();
  for (let number = 0; number < ACCOUNT_SECTIONS; number++) {
    accounts.set(`accounts-${String(number).padStart(2, "0")}`, []);
  }
  for (const account of document.accounts) {
    accounts.get(accountSection(account.name))?.push(account);
  }
  const sections: Sections = {
    [OPERATORS]: JSON.stringify(document.operators),
    [SERVICES]: JSON.stringify(document.services),
    [PRESETS]: JSON.stringify(document.presets),
    [EVACUATIONS]: JSON.stringify(document.evacuations),
  };
  for (const [name, list] of accounts) sections[name] = JSON.stringify(list);
  return sections;
}

/** Joins sections into a document; the inverse of `splitDocument`. */
export function joinDocument(
  sections: Sections,
  presetInForce: string,
): schema.Document {
  const accounts: schema.Account[] = [];
  for (const [name, text] of Object.entries(sections)) {
    if (!name.startsWith("accounts-")) continue;
    accounts.push(...(JSON.parse(text) as schema.Account[]));
  }
  return {
    operators: JSON.parse(sections[OPERATORS]) as schema.Operator[],
    services: JSON.parse(sections[SERVICES]) as schema.Service[],
    presets: JSON.parse(sections[PRESETS]) as schema.Preset[],
    // Documents from before evacuations have no such section.
    evacuations: JSON.parse(sections[EVACUATIONS] ?? "[]") as string[],
    accounts,
    presetInForce,
  };
}
