import * as net from "node:net";
import * as neverthrow from "neverthrow";
import * as clock from "./clock.ts";
import * as httpCall from "./http_call.ts";
import type * as wrongAnswer from "./wrong_answer.ts";

/** Bytes that `writeWithoutEnd` hands to the connection at a time, at least. */
const MIN_WRITE_BYTES = 64 * 1024;

/** What a call came to. */
export interface CallOutcome {
  /** Status and body of a whole answer. */
  answer: { status: number; body: string } | undefined;
  failure: httpCall.HttpCallFailure | undefined;
  /** Why the body of an answer that had begun could not be used. */
  truncated: string | undefined;
  /** Kinds of wrong answers that were reported. */
  wrong: wrongAnswer.WrongAnswerKind[];
  milliseconds: number;
}

/** A far end that answers each connection by what `answer` does to its socket. */
export class FarEnd {
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();

  constructor(answer: (socket: net.Socket) => void) {
    this.#server = net.createServer((socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
      socket.once("data", () => answer(socket));
    });
  }

  /** Connections that are open now. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Listens on a port that is free; resolves to the port. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Closes all connections and listens no longer. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

/** Options of a call to a port, with bounds that no sound answer reaches. */
export function createOptions(
  port: number,
  change: Partial<httpCall.HttpCallOptions> = {},
): httpCall.HttpCallOptions {
  return {
    host: "127.0.0.1",
    port,
    method: "GET",
    path: "/",
    headers: ["Host", "h"],
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
    connectTimeoutMilliseconds: 1_000,
    maxBodyBytes: 1024 * 1024,
    onWrongAnswer: () => {},
    ...change,
  };
}

/** Calls a port and reads the answer to its end. */
export async function outcomeOf(
  port: number,
  change: Partial<httpCall.HttpCallOptions> = {},
): Promise<CallOutcome> {
  const startedAt = clock.now();
  const wrong: wrongAnswer.WrongAnswerKind[] = [];
  const called = await httpCall.httpCall(
    createOptions(port, {
      onWrongAnswer: ({ kind }) => wrong.push(kind),
      ...change,
    }),
  );
  const read = called.isOk() ? await readAnswer(called.value) : undefined;
  return {
    answer: read?.isOk() ? read.value : undefined,
    failure: called.isErr() ? called.error : undefined,
    truncated: read?.isErr() ? read.error : undefined,
    wrong,
    milliseconds: clock.now() - startedAt,
  };
}

async function readAnswer({
  status,
  body,
}: httpCall.HttpCallAnswer): Promise<
  neverthrow.Result<{ status: number; body: string }, string>
> {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of body) pieces.push(piece);
  } catch (cause) {
    if (!(cause instanceof httpCall.TruncatedBody)) throw cause;
    return neverthrow.err(cause.message);
  }
  const text = Buffer.concat(pieces).toString("latin1");
  return neverthrow.ok({ status, body: text });
}

/**
 * Writes pieces for as long as the connection takes them, many at a time. One
 * system call for each short piece holds up the event loop, which the client
 * under test shares, until the connection's buffers are full.
 */
export function writeWithoutEnd(socket: net.Socket, piece: Buffer): void {
  const pieces = Math.ceil(MIN_WRITE_BYTES / piece.length);
  const block = Buffer.alloc(pieces * piece.length, piece);
  const write = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on("drain", write);
  write();
}
