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
> & { dispatcher: undici.Dispatcher; signal: AbortSignal };

/** An answer whose head passed the checks. */
export interface GuardedAnswer {
  head: undici.Dispatcher.ResponseData;
  /** The body as it arrives. Throws where it is wrong, or its connection fails. */
  body: AsyncGenerator<Uint8Array, void, void>;
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
  const guard = new common.AnswerGuard(MAX_ANSWER_BYTES);
  const refusal = new AbortController();
  const head = await undici.request(url, {
    ...options,
    signal: AbortSignal.any([options.signal, refusal.signal]),
    onInfo: ({ statusCode }) => {
      const wrong = guard.checkInterimHead(statusCode);
      if (wrong) refusal.abort(errorOf(wrong));
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
    throw errorOf(wrong);
  }
  return { head, body: checkedBody(body, guard), close };
}

/** Reads a body that is short as text; throws if it is not. */
export async function readText(
  body: AsyncIterable<Uint8Array>,
): Promise<string> {
  const pieces: Uint8Array[] = [];
  const guard = new common.AnswerGuard(MAX_TEXT_BYTES);
  for await (const piece of body) {
    const wrong = guard.checkPiece(piece.byteLength);
    if (wrong) throw errorOf(wrong);
    pieces.push(piece);
  }
  return Buffer.concat(pieces).toString("utf8");
}

async function* checkedBody(
  body: AsyncIterable<Uint8Array>,
  guard: common.AnswerGuard,
): AsyncGenerator<Uint8Array, void, void> {
  for await (const piece of body) {
    const wrong = guard.checkPiece(piece.byteLength);
    if (wrong) throw errorOf(wrong);
    yield piece;
  }
}

function errorOf(wrong: common.WrongAnswer): Error {
  return new Error(common.describeWrongAnswer(wrong));
}
