import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as httpClient from "./http_client.ts";
import type * as revisionModule from "./revision.ts";
import * as tableEpoch from "./table_epoch.ts";
import * as table from "./table.ts";
import * as transactInEpoch from "./transact_in_epoch.ts";

/** Header with the number of the table's epoch, in all its answers. */
const EPOCH_HEADER = "table-epoch";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

/** A row as it is sent; its revision is of the epoch that the answer tells. */
export interface SentRow {
  key: string;
  revision: number;
  value: string;
}

const SENT_ROW: zod.ZodType<SentRow> = zod.object({
  key: zod.string(),
  revision: zod.number(),
  value: zod.string(),
});
const SENT_ROWS = zod.array(SENT_ROW);
const COMMITTED = zod.object({
  revisions: zod.record(zod.string(), zod.number()),
});
const CONFLICT = zod.object({ rows: SENT_ROWS });

/** The table service over HTTP with JSON bodies. */
export class HttpTableService implements table.TableService {
  readonly epoch: tableEpoch.TableEpoch;

  constructor(
    readonly client: httpClient.HttpClient,
    logger: common.Logger,
  ) {
    this.epoch = new tableEpoch.TableEpoch(logger);
  }

  /** Reads one row. */
  async get(
    key: string,
  ): Promise<neverthrow.Result<table.Row | undefined, table.TableUnavailable>> {
    const path = `/table/row?key=${encodeURIComponent(key)}`;
    const answer = await this.#read(path, [HTTP_OK, HTTP_NOT_FOUND]);
    return answer.andThen(({ status, body }) =>
      status === HTTP_NOT_FOUND
        ? neverthrow.ok(undefined)
        : common
            .validateJson(SENT_ROW, body)
            .map((row) => this.#received(row))
            .mapErr(unreadable),
    );
  }

  /** Reads rows in key order. */
  async range(parameters: {
    from: string;
    to: string;
    limit: number;
  }): Promise<neverthrow.Result<table.Row[], table.TableUnavailable>> {
    const query = new URLSearchParams({
      from: parameters.from,
      to: parameters.to,
      limit: String(parameters.limit),
    });
    const answer = await this.#read(`/table/rows?${query.toString()}`, [
      HTTP_OK,
    ]);
    return answer.andThen(({ body }) =>
      common
        .validateJson(SENT_ROWS, body)
        .map((rows) => rows.map((row) => this.#received(row)))
        .mapErr(unreadable),
    );
  }

  /** Commits a transaction, or says what is known of it. */
  transact(transaction: table.Transaction): Promise<table.TransactionOutcome> {
    const { epoch } = this;
    const send = () => this.#send(transaction);
    return transactInEpoch.transactInEpoch({ epoch, transaction, send });
  }

  async #read(
    path: string,
    expected: readonly number[],
  ): Promise<neverthrow.Result<httpClient.HttpAnswer, table.TableUnavailable>> {
    const askedAt = common.now();
    const answer = await this.client.request("GET", path);
    if (answer.isErr()) return unavailable(answer.error.reason);
    const { status, header } = answer.value;
    const verdict = this.epoch.note(header(EPOCH_HEADER), askedAt);
    if (verdict === tableEpoch.EpochVerdict.Past) {
      return unavailable("answer of an earlier epoch");
    }
    if (!expected.includes(status)) return unavailable(`status ${status}`);
    return neverthrow.ok(answer.value);
  }

  async #send(
    transaction: table.Transaction,
  ): Promise<transactInEpoch.AnsweredTransaction> {
    const path = "/table/transaction";
    const answer = await this.client.request(
      "POST",
      path,
      encodeTransaction(transaction),
    );
    if (answer.isErr()) {
      const outcome = outcomeOfFailure(answer.error);
      return { outcome, epoch: undefined, answered: false };
    }
    const epoch = answer.value.header(EPOCH_HEADER);
    const keys = transaction.writes.flatMap((write) =>
      write.kind === table.WriteKind.Put ? [write.key] : [],
    );
    const outcome = this.#outcomeOf(answer.value, epoch, keys);
    return { outcome, epoch, answered: true };
  }

  /** Outcome of a transaction that puts rows with these keys. */
  #outcomeOf(
    { status, body }: httpClient.HttpAnswer,
    epoch: string | undefined,
    keys: string[],
  ): table.TransactionOutcome {
    switch (status) {
      case HTTP_OK: {
        const read = common.validateJson(COMMITTED, body);
        if (read.isErr()) return unknownOutcome(read.error);
        const missing = keys.find((key) => !(key in read.value.revisions));
        if (missing !== undefined) {
          const reason = `no revision of ${missing}`;
          return { kind: table.OutcomeKind.Unknown, reason };
        }
        const revisions: Record<string, revisionModule.Revision> = {};
        for (const [key, number] of Object.entries(read.value.revisions)) {
          revisions[key] = { epoch: Number(epoch ?? 0), number };
        }
        return { kind: table.OutcomeKind.Committed, revisions };
      }
      case HTTP_CONFLICT: {
        const read = common.validateJson(CONFLICT, body);
        if (read.isErr()) return unknownOutcome(read.error);
        const { rows } = read.value;
        const received = rows.map((row) => this.#received(row, epoch));
        return { kind: table.OutcomeKind.Conflict, rows: received };
      }
      case HTTP_UNAVAILABLE:
        return { kind: table.OutcomeKind.Unavailable, reason: "status 503" };
      default:
        return { kind: table.OutcomeKind.Unknown, reason: `status ${status}` };
    }
  }

  #received(row: SentRow, epoch = String(this.epoch.number)): table.Row {
    const revision = { epoch: Number(epoch), number: row.revision };
    return { ...row, revision };
  }
}

/** A condition as it is sent: revisions are numbers there. */
export type SentCondition =
  | { kind: table.ConditionKind.Absent; key: string }
  | { kind: table.ConditionKind.AtRevision; key: string; revision: number };

/** A transaction as it is sent. */
export interface SentTransaction {
  conditions: SentCondition[];
  writes: table.Write[];
}

/** A transaction in the form in which it is sent. */
export function encodeTransaction({
  conditions,
  writes,
}: table.Transaction): SentTransaction {
  const sent = conditions.map((condition): SentCondition => {
    switch (condition.kind) {
      case table.ConditionKind.Absent:
        return condition;
      case table.ConditionKind.AtRevision:
        return { ...condition, revision: condition.revision.number };
    }
  });
  return { conditions: sent, writes };
}

function outcomeOfFailure(
  failure: httpClient.RequestFailure,
): table.TransactionOutcome {
  const { reason } = failure;
  switch (failure.kind) {
    case httpClient.RequestFailureKind.NotSent:
      return { kind: table.OutcomeKind.Unavailable, reason };
    case httpClient.RequestFailureKind.Unanswered:
      return { kind: table.OutcomeKind.Unknown, reason };
  }
}

function unreadable(problems: common.InputProblem[]): table.TableUnavailable {
  const reason = `unreadable answer: ${common.describeProblems(problems)}`;
  return { kind: "table-unavailable", reason };
}

/** An answer that can't be read says nothing about the transaction. */
function unknownOutcome(
  problems: common.InputProblem[],
): table.TransactionOutcome {
  const reason = `unreadable answer: ${common.describeProblems(problems)}`;
  return { kind: table.OutcomeKind.Unknown, reason };
}

function unavailable<T>(
  reason: string,
): neverthrow.Result<T, table.TableUnavailable> {
  return neverthrow.err({ kind: "table-unavailable", reason });
}
