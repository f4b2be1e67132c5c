import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as neverthrow from "neverthrow";
import * as wire from "@geraniumkeel/wire";
import * as configurationStore from "../configuration/configuration_store.ts";
import type * as entryContext from "../entry/entry_context.ts";
import * as problem from "./problem.ts";

/** A change that took effect. */
export interface AcceptedChange {
  revision: number;
  presetInForce: string;
}

/** An edit of the document; problems are the operator's to mend. */
export type Edit = (
  document: configuration.Document,
) => neverthrow.Result<unknown, problem.Problem>;

const EMPTY_DOCUMENT: configuration.Document = {
  operators: [],
  accounts: [],
  services: [],
  presets: [],
  presetInForce: "",
  evacuations: [],
};

/**
 * Changes the configuration on top of the revision that the operator saw. Two
 * who race meet at the head row: one change is committed, and the other
 * operator is told which revision won.
 */
export async function changeConfiguration(parameters: {
  context: entryContext.EntryContext;
  baseRevision: number;
  edit: Edit;
}): Promise<neverthrow.Result<AcceptedChange, problem.Problem>> {
  const { context, baseRevision, edit } = parameters;
  const base = await context.store.readHead();
  if (base.isErr()) {
    return neverthrow.err(
      base.error.kind === "unreadable-head"
        ? unreadable(base.error.reason)
        : storeUnavailable(base.error.reason),
    );
  }
  const head = base.value?.head;
  const revision = head?.revision ?? 0;
  if (revision !== baseRevision) {
    return neverthrow.err(conflict(context, head));
  }
  const texts = await currentTexts(context, head);
  if (texts.isErr()) return neverthrow.err(texts.error);
  const before = head
    ? configuration.joinDocument(texts.value, head.presetInForce)
    : neverthrow.ok(EMPTY_DOCUMENT);
  if (before.isErr()) {
    return neverthrow.err(unreadable(common.describeProblems(before.error)));
  }
  const edited = edit(before.value);
  if (edited.isErr()) return neverthrow.err(edited.error);
  const checked = common.validate(configuration.DOCUMENT, edited.value);
  if (checked.isErr()) return neverthrow.err(invalid(checked.error));
  const outcome = await context.store.commit({
    base: base.value,
    baseTexts: texts.value,
    document: checked.value,
    inForce: context.keeper.revision,
  });
  switch (outcome.kind) {
    case "committed": {
      const { head: committed, sections } = outcome;
      const { revision, presetInForce } = committed;
      context.keeper.adopt(committed, sections);
      const code = common.EventCode.ConfigurationAccepted;
      context.logger.event(code, { revision, presetInForce });
      const { host } = context.settings;
      context.history.record({ kind: "accepted", host, revision });
      return neverthrow.ok({ revision, presetInForce });
    }
    case "conflict":
      return neverthrow.err(conflict(context, outcome.head));
    case "not-written":
      return neverthrow.err(storeUnavailable(outcome.reason));
    case "given-up":
      return neverthrow.err(unknownOutcome(outcome.reason));
  }
}

/** Section texts at the head, from here as far as held, else from the store. */
async function currentTexts(
  context: entryContext.EntryContext,
  head: configuration.Head | undefined,
): Promise<neverthrow.Result<configuration.Sections, problem.Problem>> {
  if (!head) return neverthrow.ok({});
  const { keeper, store } = context;
  const held = keeper.sectionRevisions();
  const heldTexts = keeper.view?.texts ?? {};
  const read = await store.readSections(head, held);
  if (read.isErr()) return neverthrow.err(storeUnavailable(read.error.reason));
  if (!read.value) return neverthrow.err(conflict(context, undefined));
  const texts: configuration.Sections = {};
  const fetched = new Map<string, wire.SectionPush>();
  for (const section of read.value) fetched.set(section.name, section);
  for (const name of Object.keys(head.sections)) {
    texts[name] = fetched.get(name)?.text ?? heldTexts[name];
  }
  return neverthrow.ok(texts);
}

function conflict(
  context: entryContext.EntryContext,
  winner: configuration.Head | undefined,
): problem.Problem {
  const head = winner && configurationStore.publicHead(winner);
  context.logger.event(common.EventCode.ConfigurationConflict, {
    revision: head?.revision,
  });
  const detail = head
    ? `revision ${head.revision} is in force, with preset ${head.presetInForce}; read it and repeat the change if it is still wanted`
    : "there is no configuration yet: base the change on revision 0";
  return {
    status: 409,
    title: "Another change came first; this one was not applied",
    outcome: problem.Outcome.NotRun,
    reason: "conflict",
    detail,
  };
}

function storeUnavailable(reason: string): problem.Problem {
  return {
    status: 503,
    title: "The table service does not answer; nothing was changed",
    outcome: problem.Outcome.NotRun,
    reason: "store-unavailable",
    detail: reason,
  };
}

function unreadable(detail: string): problem.Problem {
  return {
    status: 503,
    title: "The stored configuration can't be read; nothing was changed",
    outcome: problem.Outcome.NotRun,
    reason: "store-unavailable",
    detail,
  };
}

function unknownOutcome(reason: string): problem.Problem {
  return {
    status: 504,
    title: "It is not known whether the change was committed",
    outcome: problem.Outcome.MayHaveRun,
    reason: "outcome-unknown",
    detail: `${reason}; read the configuration again when the table service answers`,
  };
}

function invalid(problems: common.InputProblem[]): problem.Problem {
  return {
    status: 400,
    title: "The configuration is not valid",
    outcome: problem.Outcome.NotRun,
    reason: "invalid-configuration",
    detail: problems.map(common.describeProblem).join("\n"),
  };
}
