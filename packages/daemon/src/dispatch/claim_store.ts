import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";
import * as zod from "zod";

/** What a claim says about its attempt. */
export enum ClaimState {
  /**
   * The attempt's outcome is not written yet; only the attempt's runner may
   * know it.
   */
  Claimed = "claimed",
  /** The attempt ran to completion. */
  Completed = "settled",
  /**
   * The attempt may have run, and no entry can get a complete answer any more:
   * the answer broke off, the upstream process was replaced, or it no longer
   * has the outcome.
   */
  MayHaveRun = "unsettled",
}

/** Final statuses, the only ones that an answer to a caller can have. */
const STATUS = zod.number().int().min(200).max(599);
/**
 * A claim as stored. Loose, so that an entry that changes a claim of a later
 * version keeps the fields that it does not know.
 */
const CLAIM: zod.ZodType<Claim> = zod.looseObject({
  nonce: zod.string(),
  digest: zod.string(),
  state: zod.enum(ClaimState),
  entry: zod.string(),
  runner: zod.string(),
  attempt: zod.looseObject({
    identifier: zod.string(),
    agentIncarnation: zod.string(),
    issuedAt: zod.number(),
  }),
  createdAt: zod.number(),
  answer: zod
    .looseObject({
      head: zod.looseObject({
        status: STATUS,
        headers: zod.array(zod.tuple([zod.string(), zod.string()])),
      }),
      body: zod.string(),
    })
    .optional(),
});

/**
 * Answer stored with a completed claim, for a caller that sends the request
 * again.
 */
export interface StoredAnswer {
  head: wire.AnswerHead;
  /** Body in base64. */
  body: string;
}

/**
 * Row of the table service for one idempotency key. It names the only attempt
 * that may run for the key.
 */
export interface Claim {
  /** Random text, new with each write, by which a writer knows its own row. */
  nonce: string;
  /** Digest of the request; the key may not be used for a different request. */
  digest: string;
  state: ClaimState;
  /** Host of the entry that wrote the claim. */
  entry: string;
  /** Host of the runner that the attempt was, or is about to be, sent to. */
  runner: string;
  attempt: wire.Attempt;
  /** Wall-clock time in milliseconds, used only to remove old claims. */
  createdAt: number;
  answer?: StoredAnswer;
}

/** A claim in the table, with the revision on which a change must be based. */
export interface StoredClaim {
  claim: Claim;
  revision: backingServices.Revision;
}

/** Outcome of writing a claim. */
export type ClaimWriteResult =
  | { kind: "written"; stored: StoredClaim }
  /** The row is not at the expected revision and contains `stored`. */
  | { kind: "exists"; stored: StoredClaim }
  /**
   * The row is not at the expected revision, and what it contains can't be
   * read: an attempt with this key may have run.
   */
  | { kind: "unreadable" }
  /** The table service did not confirm the write; it may have taken effect. */
  | { kind: "store-unavailable" };

const KEY_PREFIX = "claims/";

/** Table key of an account's idempotency key. */
export function claimKey(account: string, idempotencyKey: string): string {
  return `${KEY_PREFIX}${account}/${common.hashKey(idempotencyKey)}`;
}

/**
 * Reads and writes claims in the table service. With claims, entries ensure
 * that a request that may not be repeated runs at most once per idempotency
 * key.
 */
export class ClaimStore {
  constructor(
    readonly parameters: {
      table: backingServices.TableService;
      random: common.Random;
      timeoutMilliseconds: number;
      unreadable: common.UnreadableRows;
    },
  ) {}

  /**
   * Writes a claim if there is none, or in place of `base`. An entry writes the
   * claim, with the runner's name, before it sends the request to that runner.
   * Any entry that finds the claim later can therefore settle the attempt at
   * the runner. If the entry that wrote the claim is only paused and sends the
   * attempt afterwards, the runner refuses it.
   */
  async write(parameters: {
    key: string;
    claim: Omit<Claim, "nonce">;
    base: StoredClaim | undefined;
  }): Promise<ClaimWriteResult> {
    const { key, base } = parameters;
    const nonce = common.randomIdentifier();
    const claim = { ...parameters.claim, nonce };
    const condition = backingServices.atRevision(key, base?.revision);
    const put = backingServices.putRow(key, JSON.stringify(claim));
    const outcome = await backingServices.writeDefinitely({
      table: this.parameters.table,
      write: {
        transaction: { conditions: [condition], writes: [put] },
        decidingKey: key,
        nonce,
      },
      timeoutMilliseconds: this.parameters.timeoutMilliseconds,
      random: this.parameters.random,
    });
    switch (outcome.kind) {
      case backingServices.DefiniteKind.Committed: {
        const { revision } = outcome;
        return { kind: "written", stored: { claim, revision } };
      }
      case backingServices.DefiniteKind.Conflict: {
        if (!outcome.row) return { kind: "store-unavailable" };
        const stored = this.#readClaim(outcome.row);
        return stored ? { kind: "exists", stored } : { kind: "unreadable" };
      }
      case backingServices.DefiniteKind.PastEpoch:
      case backingServices.DefiniteKind.NotWritten:
      case backingServices.DefiniteKind.GivenUp:
        return { kind: "store-unavailable" };
    }
  }

  /**
   * Reads up to `limit` rows from the key `from` on, or from the first claim if
   * `from` is empty, and removes the claims created before `before`, a
   * wall-clock time in milliseconds. Returns how many it removed and, as
   * `next`, the key from which to continue; `next` is `undefined` after the
   * last row. Claims that can't be read stay, as their keys may have been used.
   */
  async removeBatch(parameters: {
    before: number;
    from: string;
    limit: number;
  }): Promise<
    neverthrow.Result<
      { removed: number; next: string | undefined },
      backingServices.TableUnavailable
    >
  > {
    const from = parameters.from || KEY_PREFIX;
    const { limit } = parameters;
    // "0" is the character after "/", so the range covers all claim keys.
    const to = "claims0";
    const rows = await this.parameters.table.range({ from, to, limit });
    if (rows.isErr()) return neverthrow.err(rows.error);
    const old = rows.value.filter((row) => {
      const createdAt = this.#readClaim(row)?.claim.createdAt ?? Infinity;
      return createdAt < parameters.before;
    });
    const last = rows.value.at(-1);
    const mayFollow = rows.value.length === limit && last;
    const next = mayFollow ? `${last.key}\0` : undefined;
    if (old.length === 0) return neverthrow.ok({ removed: 0, next });
    const outcome = await this.parameters.table.transact({
      conditions: old.map(({ key, revision }) =>
        backingServices.atRevision(key, revision),
      ),
      writes: old.map(({ key }) => ({
        kind: backingServices.WriteKind.Delete,
        key,
      })),
    });
    const committed = outcome.kind === backingServices.OutcomeKind.Committed;
    return neverthrow.ok({ removed: committed ? old.length : 0, next });
  }

  /** The claim of a row; `undefined` if it can't be read. */
  #readClaim({
    key,
    value,
    revision,
  }: backingServices.Row): StoredClaim | undefined {
    const read = common.validateJson(CLAIM, value);
    if (read.isOk()) return { claim: read.value, revision };
    this.parameters.unreadable.note(key, value, read.error);
    return undefined;
  }
}
