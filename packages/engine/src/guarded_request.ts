import * as common from "@geraniumkeel/common";
import * as undici from "undici";

/** Longest answer, streams too, chunks counted with an overhead. */
const MAX_ANSWER_BYTES = 1024 * 1024 * 1024;
/** Longest answer that is read as one text. */
const MAX_TEXT_BYTES = 8 * 1024 * 1024;

/** What is sent, as `undici.request` takes it. */
export type RequestOptions = Pick<
  undici.Dispatcher.RequestOptions,
  "method" | "headers" | "body"
> & {
  dispatcher: undici.Dispatcher;
  signal: AbortSignal;
  /** Called with each answer that can't be used. */
  onWrongAnswer?: (wrong: common.WrongAnswer) => void;
};

/** An answer whose head passed the checks. */
export interface GuardedAnswer {
  head: undici.Dispatcher.ResponseData;
  /** The body as it arrives. Throws where it is wrong, or its connection fails. */
  body: AsyncGenerator<Uint8Array, void, void>;
  /** Reads a body that is short as text; rejects if it is not. */
  text: () => Promise<string>;
  /** Closes the connection; what was not read of the body is lost. */
  close: () => void;
}

/**
 * Sends a request to a back end and checks its answer part by part. Throws if
 * there is no answer that can be used.
 */
export async function guardedRequest(
  url: string,
  options: RequestOptions,
): Promise<GuardedAnswer> {
  const { onWrongAnswer, ...request } = options;
  const guard = new common.AnswerGuard(MAX_ANSWER_BYTES);
  const refusal = new AbortController();
  const refuse = (wrong: common.WrongAnswer): Error => {
    onWrongAnswer?.(wrong);
    return new Error(common.describeWrongAnswer(wrong));
  };
  const head = await undici.request(url, {
    ...request,
    signal: AbortSignal.any([options.signal, refusal.signal]),
    onInfo: ({ statusCode }) => {
      const wrong = guard.checkInterimHead(statusCode);
      if (wrong && !refusal.signal.aborted) refusal.abort(refuse(wrong));
    },
  });
  const { statusCode: status, headers, body } = head;
  const contentLength = headers["content-length"]?.toString();
  const announced = options.method === "HEAD" ? undefined : contentLength;
  const wrong = guard.checkHead({ status, contentLength: announced });
  const close = () => {
    // Nobody reads the body any more, so nobody else would hear its error.
    body.once("error", () => undefined);
    body.destroy();
  };
  if (wrong) {
    close();
    throw refuse(wrong);
  }
  const checked = checkedBody(body, guard, refuse);
  return { head, body: checked, text: () => readText(checked, refuse), close };
}

async function readText(
  body: AsyncIterable<Uint8Array>,
  refuse: (wrong: common.WrongAnswer) => Error,
): Promise<string> {
  const pieces: Uint8Array[] = [];
  const guard = new common.AnswerGuard(MAX_TEXT_BYTES);
  for await (const piece of body) {
    const wrong = guard.checkPiece(piece.byteLength);
    if (wrong) throw refuse(wrong);
    pieces.push(piece);
  }
  return Buffer.concat(pieces).toString("utf8");
}

async function* checkedBody(
  body: AsyncIterable<Uint8Array>,
  guard: common.AnswerGuard,
  refuse: (wrong: common.WrongAnswer) => Error,
): AsyncGenerator<Uint8Array, void, void> {
  for await (const piece of body) {
    const wrong = guard.checkPiece(piece.byteLength);
    if (wrong) throw refuse(wrong);
    yield piece;
  }
}
