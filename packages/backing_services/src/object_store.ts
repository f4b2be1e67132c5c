import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as httpClient from "./http_client.ts";

/** An object that could not be read or written. */
export interface ObjectFailure {
  kind: "object-failure";
  reason: string;
}

const OBJECT = zod.object({ body: zod.string() });

/** The platform's object store: whole objects by name. */
export interface ObjectStore {
  put(
    name: string,
    body: string,
  ): Promise<neverthrow.Result<void, ObjectFailure>>;
  get(
    name: string,
  ): Promise<neverthrow.Result<string | undefined, ObjectFailure>>;
}

/** The object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
  constructor(readonly client: httpClient.HttpClient) {}

  /** Writes an object; repeating is harmless. */
  async put(
    name: string,
    body: string,
  ): Promise<neverthrow.Result<void, ObjectFailure>> {
    const path = `/objects/${encodeURIComponent(name)}`;
    const answer = await this.client.request("PUT", path, { body });
    if (answer.isErr()) return failure(answer.error.reason);
    if (answer.value.status !== 200) {
      return failure(`status ${answer.value.status}`);
    }
    return neverthrow.ok(undefined);
  }

  /** Reads an object; `undefined` when there is none. */
  async get(
    name: string,
  ): Promise<neverthrow.Result<string | undefined, ObjectFailure>> {
    const path = `/objects/${encodeURIComponent(name)}`;
    const answer = await this.client.request("GET", path);
    if (answer.isErr()) return failure(answer.error.reason);
    if (answer.value.status === 404) return neverthrow.ok(undefined);
    if (answer.value.status !== 200) {
      return failure(`status ${answer.value.status}`);
    }
    const read = common.validateJson(OBJECT, answer.value.body);
    if (read.isErr()) {
      const problems = common.describeProblems(read.error);
      return failure(`unreadable answer: ${problems}`);
    }
    return neverthrow.ok(read.value.body);
  }
}

function failure<T>(reason: string): neverthrow.Result<T, ObjectFailure> {
  return neverthrow.err({ kind: "object-failure", reason });
}
