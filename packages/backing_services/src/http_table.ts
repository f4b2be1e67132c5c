import * as neverthrow from "neverthrow";
import * as httpClient from "./http_client.ts";
import * as table from "./table.ts";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

/** The table service over HTTP with JSON bodies. */
export class HttpTableService implements table.TableService {
  constructor(readonly client: httpClient.HttpClient) {}

  /** Reads one row. */
  async get(
    key: string,
  ): Promise<neverthrow.Result<table.Row | undefined, table.TableUnavailable>> {
    const path = `/table/row?key=${encodeURIComponent(key)}`;
    const answer = await this.client.request("GET", path);
    if (answer.isErr()) return unavailable(answer.error.reason);
    if (answer.value.status === HTTP_NOT_FOUND) return neverthrow.ok(undefined);
    if (answer.value.status !== HTTP_OK) {
      return unavailable(`status ${answer.value.status}`);
    }
    return neverthrow.ok(JSON.parse(answer.value.body) as table.Row);
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
    const answer = await this.client.request(
      "GET",
      `/table/rows?${query.toString()}`,
    );
    if (answer.isErr()) return unavailable(answer.error.reason);
    if (answer.value.status !== HTTP_OK) {
      return unavailable(`status ${answer.value.status}`);
    }
    return neverthrow.ok(JSON.parse(answer.value.body) as table.Row[]);
  }

  /** Commits a transaction, or says what is known of it. */
  async transact(
    transaction: table.Transaction,
  ): Promise<table.TransactionOutcome> {
    const path = "/table/transaction";
    const answer = await this.client.request("POST", path, transaction);
    if (answer.isErr()) return outcomeOfFailure(answer.error);
    const { status, body } = answer.value;
    switch (status) {
      case HTTP_OK: {
        const { revisions } = JSON.parse(body) as {
          revisions: Record<string, number>;
        };
        return { kind: table.OutcomeKind.Committed, revisions };
      }
      case HTTP_CONFLICT: {
        const { rows } = JSON.parse(body) as { rows: table.Row[] };
        return { kind: table.OutcomeKind.Conflict, rows };
      }
      case HTTP_UNAVAILABLE:
        return { kind: table.OutcomeKind.Unavailable, reason: "status 503" };
      default:
        return { kind: table.OutcomeKind.Unknown, reason: `status ${status}` };
    }
  }
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

function unavailable<T>(
  reason: string,
): neverthrow.Result<T, table.TableUnavailable> {
  return neverthrow.err({ kind: "table-unavailable", reason });
}
