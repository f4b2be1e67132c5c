import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";

/** State of a claim. */
export enum ClaimState {
  /** An attempt was named; only its runner knows what became of it. */
  Claimed = "claimed",
  /** It ran. */
  Settled = "settled",
  /** It cannot be known whether it ran. */
  Unsettled = "unsettled",
}

/** Answer kept with a settled claim, for replay. */
export interface StoredAnswer {
  head: wire.AnswerHead;
  /** Body in base64. */
  body: string;
}

/** What the table holds of one idempotency key. */
export interface Claim {
  nonce: string;
  /** Digest of the request: the same key may not be used for another. */
  digest: string;
  state: ClaimState;
  /** Entry that made the claim. */
  entry: string;
  /** Runner that the attempt was, or is about to be, sent to. */
  runner: string;
  attempt: wire.Attempt;
  /** Wall-clock time in milliseconds, for removal only. */
  createdAt: number;
  answer?: StoredAnswer;
}

/** A claim with the table revision on which a change must be based. */
export interface StoredClaim {
  claim: Claim;
  revision: backingServices.Revision;
}

/** What became of writing a claim. */
export type ClaimWriteResult =
  | { kind: "written"; stored: StoredClaim }
  | { kind: "exists"; stored: StoredClaim }
  | { kind: "store-unavailable" };

const KEY_PREFIX = "claims/";

/** Table key of an account's idempotency key. */
export function claimKey(account: string, idempotencyKey: string): string {
  return `${KEY_PREFIX}${account}/${common.hashKey(idempotencyKey)}`;
}

/** Claims of non-repeatable requests in the table service. */
export class ClaimStore {
  constructor(
    readonly parameters: {
      table: backingServices.TableService;
      random: common.Random;
      timeoutMilliseconds: number;
    },
  ) {}

  /**
   * Writes a claim if there is none, or in place of `base`. The claim names the
   * runner before the request is sent to it: whoever finds the claim later can
   * settle the attempt there, also against an entry that is only paused.
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
      case backingServices.DefiniteKind.Conflict:
        if (!outcome.row) return { kind: "store-unavailable" };
        return { kind: "exists", stored: parseClaim(outcome.row) };
      case backingServices.DefiniteKind.PastEpoch:
      case backingServices.DefiniteKind.NotWritten:
      case backingServices.DefiniteKind.GivenUp:
        return { kind: "store-unavailable" };
    }
  }

  /** Removes up to `limit` claims made before a time; returns how many. */
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
    const to = "claims0";
    const rows = await this.parameters.table.range({ from, to, limit });
    if (rows.isErr()) return neverthrow.err(rows.error);
    const old = rows.value.filter(
      (row) => parseClaim(row).claim.createdAt < parameters.before,
    );
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
}

function parseClaim(row: backingServices.Row): StoredClaim {
  return { claim: JSON.parse(row.value) as Claim, revision: row.revision };
}
