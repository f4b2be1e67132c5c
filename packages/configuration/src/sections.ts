import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as schema from "./schema.ts";
import * as sectionReader from "./section_reader.ts";

/**
 * Accounts are spread over this many sections, so that a change of one among
 * thousands sends a small part of the document to every process.
 */
export const ACCOUNT_SECTIONS = 32;

const OPERATORS = "operators";
const SERVICES = "services";
const PRESETS = "presets";
const EVACUATIONS = "evacuations";

const ACCOUNT_LIST = zod.array(schema.ACCOUNT);
const OPERATOR_LIST = zod.array(schema.OPERATOR);
const SERVICE_LIST = zod.array(schema.SERVICE);
const PRESET_LIST = zod.array(schema.PRESET);
const EVACUATION_LIST = zod.array(schema.DATA_CENTRE);

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

/**
 * Joins sections into a document; the inverse of `splitDocument`. The error tells
 * why a section can't be read, or that it is missing. With the `reader` of the
 * last document, only sections whose texts changed are read.
 */
export function joinDocument(
  sections: Sections,
  presetInForce: string,
  reader = new sectionReader.SectionReader(),
): neverthrow.Result<schema.Document, common.InputProblem[]> {
  const accounts: schema.Account[] = [];
  for (const [name, text] of Object.entries(sections)) {
    if (!name.startsWith("accounts-")) continue;
    const read = reader.read(name, text, ACCOUNT_LIST);
    if (read.isErr()) return neverthrow.err(read.error);
    for (const account of read.value) accounts.push(account);
  }
  const operators = reader.read(OPERATORS, sections[OPERATORS], OPERATOR_LIST);
  if (operators.isErr()) return neverthrow.err(operators.error);
  const services = reader.read(SERVICES, sections[SERVICES], SERVICE_LIST);
  if (services.isErr()) return neverthrow.err(services.error);
  const presets = reader.read(PRESETS, sections[PRESETS], PRESET_LIST);
  if (presets.isErr()) return neverthrow.err(presets.error);
  // Documents from before evacuations have no such section.
  const evacuationText = sections[EVACUATIONS] ?? "[]";
  return reader
    .read(EVACUATIONS, evacuationText, EVACUATION_LIST)
    .map((evacuations) => ({
      operators: operators.value,
      services: services.value,
      presets: presets.value,
      evacuations,
      accounts,
      presetInForce,
    }));
}
