import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as neverthrow from "neverthrow";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";
import * as zod from "zod";

const HEAD_KEY = "configuration/head";
/**
 * Number of revisions that the first change in a new epoch of the table skips.
 * The table was restored from a copy that lacks the changes of the last seconds
 * before the restore. Those changes are still in force at some entries, which
 * would ignore a change with one of the same revisions. There are fewer changes
 * than this in the lost seconds.
 */
const SKIPPED_REVISIONS = 10_000;
/**
 * Number of replaced sections that stay stored, for readers of an older head.
 */
const MAX_REPLACED_SECTIONS = 64;

/** A section row that a later revision replaced. */
interface ReplacedSection {
  name: string;
  revision: number;
}

/** Head row as stored. */
interface StoredHead extends configuration.Head {
  replaced: ReplacedSection[];
  /**
   * Epoch of the table in which the head was written. A head of an earlier
   * epoch comes from a copy of the table, and newer heads may have been lost.
   */
  epoch: number;
}

const REVISION = zod.number().int().min(0);
const HEAD: zod.ZodType<StoredHead> = zod.object({
  revision: REVISION,
  nonce: zod.string(),
  presetInForce: zod.string(),
  sections: zod.record(zod.string(), REVISION),
  replaced: zod
    .array(zod.object({ name: zod.string(), revision: REVISION }))
    .default([]),
  // Heads of earlier versions have no epoch.
  epoch: zod.number().default(0),
});

/** A head that is in the table and can't be read. */
export interface UnreadableHead {
  kind: "unreadable-head";
  reason: string;
}

/** A head, and the revision of its row on which a change must be based. */
export interface ReadHead {
  head: StoredHead;
  rowRevision: backingServices.Revision;
}

/** Outcome of a change to the configuration. */
export type CommitOutcome =
  | {
      kind: "committed";
      head: configuration.Head;
      sections: wire.SectionPush[];
    }
  | { kind: "conflict"; head: configuration.Head | undefined }
  | { kind: "not-written"; reason: string }
  | { kind: "given-up"; reason: string };

/**
 * Reads and writes the configuration in the table service. Each section of the
 * document is a row of its own, and the head row lists their revisions.
 */
export class ConfigurationStore {
  constructor(
    readonly parameters: {
      table: backingServices.TableService;
      random: common.Random;
      timeoutMilliseconds: number;
      unreadable: common.UnreadableRows;
    },
  ) {}

  /** Number of the table's current epoch. */
  get epoch(): number {
    return this.parameters.table.epoch.number;
  }

  /** Reads the head; `undefined` before the first change. */
  async readHead(): Promise<
    neverthrow.Result<
      ReadHead | undefined,
      backingServices.TableUnavailable | UnreadableHead
    >
  > {
    const row = await this.parameters.table.get(HEAD_KEY);
    if (row.isErr()) return neverthrow.err(row.error);
    return row.value ? this.#readRow(row.value) : neverthrow.ok(undefined);
  }

  /**
   * Reads the sections of a head whose revisions differ from the given ones.
   * `undefined` if a section row has been deleted because the head is outdated;
   * the caller then reads the head again.
   */
  async readSections(
    head: configuration.Head,
    sectionRevisions: Record<string, number>,
  ): Promise<
    neverthrow.Result<
      wire.SectionPush[] | undefined,
      backingServices.TableUnavailable
    >
  > {
    const sections: wire.SectionPush[] = [];
    for (const [name, revision] of Object.entries(head.sections)) {
      if (sectionRevisions[name] === revision) continue;
      const row = await this.parameters.table.get(sectionKey(name, revision));
      if (row.isErr()) return neverthrow.err(row.error);
      if (!row.value) return neverthrow.ok(undefined);
      sections.push({ name, revision, text: row.value.value });
    }
    return neverthrow.ok(sections);
  }

  /**
   * Commits a document that replaces that of `base`. Of concurrent changes with
   * the same base, one is committed; the others get a conflict that names the
   * head of the committed one.
   */
  async commit(parameters: {
    base: ReadHead | undefined;
    baseTexts: configuration.Sections;
    document: configuration.Document;
    /** Revision in force here; the new revision is higher. */
    inForce: number;
    signal?: AbortSignal;
  }): Promise<CommitOutcome> {
    const { base, baseTexts, document, inForce } = parameters;
    const { epoch } = this;
    const revision = nextRevision(base, inForce, epoch);
    const texts = configuration.splitDocument(document);
    const changed = Object.keys(texts).filter(
      (name) => texts[name] !== baseTexts[name],
    );
    const nonce = common.randomIdentifier();
    const head = nextHead({ base, revision, changed, nonce, document, epoch });
    const { transaction, stored } = buildTransaction({
      base,
      head,
      changed,
      texts,
    });
    const outcome = await backingServices.writeDefinitely({
      table: this.parameters.table,
      write: { transaction, decidingKey: HEAD_KEY, nonce },
      timeoutMilliseconds: this.parameters.timeoutMilliseconds,
      random: this.parameters.random,
      signal: parameters.signal,
    });
    switch (outcome.kind) {
      case backingServices.DefiniteKind.Committed: {
        if (outcome.revision.epoch !== epoch) {
          // A new epoch began during the write, and the revision was chosen for
          // the previous epoch.
          const reason = "the table came back from a copy";
          return { kind: "given-up", reason };
        }
        const sections = changed.map((name) => ({
          name,
          revision,
          text: texts[name],
        }));
        return { kind: "committed", head: publicHead(stored), sections };
      }
      case backingServices.DefiniteKind.Conflict: {
        if (!outcome.row) return { kind: "conflict", head: undefined };
        const winner = this.#readRow(outcome.row);
        return winner.isOk()
          ? { kind: "conflict", head: publicHead(winner.value.head) }
          : // This change may have been committed before the row was replaced.
            { kind: "given-up", reason: winner.error.reason };
      }
      case backingServices.DefiniteKind.NotWritten:
        return { kind: "not-written", reason: outcome.reason };
      case backingServices.DefiniteKind.PastEpoch:
      case backingServices.DefiniteKind.GivenUp:
        return { kind: "given-up", reason: outcome.reason };
    }
  }

  #readRow({
    key,
    value,
    revision: rowRevision,
  }: backingServices.Row): neverthrow.Result<ReadHead, UnreadableHead> {
    const { unreadable } = this.parameters;
    const read = common.validateJson(HEAD, value);
    if (read.isErr()) {
      unreadable.note(key, value, read.error);
      const reason = common.describeProblems(read.error);
      return neverthrow.err({ kind: "unreadable-head", reason });
    }
    unreadable.forget(key);
    return neverthrow.ok({ head: read.value, rowRevision });
  }
}

/** The head without the fields that only the store needs. */
export function publicHead(stored: configuration.Head): configuration.Head {
  const { revision, nonce, presetInForce, sections } = stored;
  return { revision, nonce, presetInForce, sections };
}

function sectionKey(name: string, revision: number): string {
  return `configuration/section/${name}/${revision}`;
}

/** Returns a revision above all that were in force at any entry. */
function nextRevision(
  base: ReadHead | undefined,
  inForce: number,
  epoch: number,
): number {
  const last = Math.max(base?.head.revision ?? 0, inForce);
  const mayBeLost = base ? base.head.epoch !== epoch : last > 0;
  return last + 1 + (mayBeLost ? SKIPPED_REVISIONS : 0);
}

function nextHead(parameters: {
  base: ReadHead | undefined;
  revision: number;
  changed: string[];
  nonce: string;
  document: configuration.Document;
  epoch: number;
}): StoredHead {
  const { base, revision, changed, nonce, document, epoch } = parameters;
  const sections = { ...base?.head.sections };
  const replaced = [...(base?.head.replaced ?? [])];
  for (const name of changed) {
    if (sections[name]) replaced.push({ name, revision: sections[name] });
    sections[name] = revision;
  }
  const { presetInForce } = document;
  return { revision, nonce, presetInForce, sections, replaced, epoch };
}

function buildTransaction(parameters: {
  base: ReadHead | undefined;
  head: StoredHead;
  changed: string[];
  texts: configuration.Sections;
}): { transaction: backingServices.Transaction; stored: StoredHead } {
  const { base, head, changed, texts } = parameters;
  const surplus = Math.max(0, head.replaced.length - MAX_REPLACED_SECTIONS);
  const dropped = head.replaced.slice(0, surplus);
  const stored = { ...head, replaced: head.replaced.slice(surplus) };
  const condition = backingServices.atRevision(HEAD_KEY, base?.rowRevision);
  const writes: backingServices.Write[] = [
    backingServices.putRow(HEAD_KEY, JSON.stringify(stored)),
    ...changed.map((name) =>
      backingServices.putRow(sectionKey(name, head.revision), texts[name]),
    ),
    ...dropped.map(({ name, revision }): backingServices.Write => ({
      kind: backingServices.WriteKind.Delete,
      key: sectionKey(name, revision),
    })),
  ];
  return { transaction: { conditions: [condition], writes }, stored };
}
