import type * as net from "node:net";
import * as clock from "./clock.ts";

/** How a far end leaves an answer that it does not finish. */
export enum CutEnding {
  /** Its connection ends in order, together with the last bytes. */
  End = "end",
  /** Its connection ends in order, after a pause. */
  LateEnd = "late-end",
  /** Its connection is reset. */
  Reset = "reset",
  /** Its connection stays open, and nothing more comes. */
  Silence = "silence",
}

/** How an answer tells where its body ends. */
export enum Framing {
  Length = "length",
  Chunked = "chunked",
  /** By the end of its connection. */
  Connection = "connection",
  /** A length of 0. */
  Empty = "empty",
}

/** An answer that stops after some of its bytes. */
export interface CutAnswer {
  framing: Framing;
  /** The whole answer. */
  text: string;
  /** Bytes of all heads, the final one included. */
  headBytes: number;
  /** Bytes that are sent. */
  place: number;
  ending: CutEnding;
}

/** Body of a whole answer, where a test gives no other. */
export const WHOLE_BODY = '{"body":"whole"}';

const INTERIM_HEADS = [
  "",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
];
const CONNECTION_HEADERS = [
  "",
  "Connection: close\r\n",
  "Connection: keep-alive\r\n",
];
/** Interim heads before a final head of HTTP/1.0, which has none of its own. */
const INTERIM_HEADS_BY_VERSION: Record<string, string[]> = {
  "1.1": INTERIM_HEADS,
  "1.0": INTERIM_HEADS.slice(0, 1),
};
const PAUSE_MILLISECONDS = 2;
/** Endings that take time come after one in so many bytes. */
const SLOW_ENDING_STEPS: Record<CutEnding, number> = {
  [CutEnding.End]: 1,
  [CutEnding.LateEnd]: 7,
  [CutEnding.Reset]: 1,
  [CutEnding.Silence]: 37,
};

function frame(
  framing: Framing,
  content: string,
): { header: string; body: string } {
  switch (framing) {
    case Framing.Length:
      return {
        header: `Content-Length: ${content.length}\r\n`,
        body: content,
      };
    case Framing.Chunked: {
      const length = content.length.toString(16);
      const header = "Transfer-Encoding: chunked\r\n";
      return { header, body: `${length}\r\n${content}\r\n0\r\n\r\n` };
    }
    case Framing.Connection:
      return { header: "", body: content };
    case Framing.Empty:
      return { header: "Content-Length: 0\r\n", body: "" };
  }
}

/** Whole answers: each framing, version, connection header and interim head. */
function* wholeAnswers(
  content: string,
): Generator<Pick<CutAnswer, "framing" | "text" | "headBytes">> {
  for (const framing of Object.values(Framing))
    for (const [version, interims] of Object.entries(INTERIM_HEADS_BY_VERSION))
      for (const connection of CONNECTION_HEADERS)
        for (const interim of interims) {
          const { header, body } = frame(framing, content);
          const head = `${interim}HTTP/${version} 200 OK\r\n${connection}${header}\r\n`;
          yield { framing, text: head + body, headBytes: head.length };
        }
}

/** Each whole answer, cut after its bytes, with each of some endings. */
export function* cutAnswers(
  endings: CutEnding[],
  content = WHOLE_BODY,
): Generator<CutAnswer> {
  let count = 0;
  for (const whole of wholeAnswers(content))
    for (let place = 0; place <= whole.text.length; place++, count++)
      for (const ending of endings)
        if (count % SLOW_ENDING_STEPS[ending] === 0)
          yield { ...whole, place, ending };
}

/** Whether a client may take a cut answer for a whole one. */
export function mayLookWhole(cut: CutAnswer): boolean {
  const { place, text, headBytes, ending, framing } = cut;
  if (framing !== Framing.Connection) return place === text.length;
  // Without a length nothing tells a body that is cut from one that is whole.
  const endsInOrder = ending === CutEnding.End || ending === CutEnding.LateEnd;
  return place >= headBytes && endsInOrder;
}

/** Whether a client must take a cut answer for a whole one. */
export function mustLookWhole(cut: CutAnswer): boolean {
  // A client may refuse a final head behind one that says the connection ends.
  const isSound = !cut.text.includes("Early Hints\r\nConnection: close");
  // HTTP/1.0 has no chunks. undici refuses 100 Continue where none was asked for.
  const isPlain =
    cut.framing !== Framing.Chunked || cut.text.includes("HTTP/1.1 200");
  return (
    isSound &&
    isPlain &&
    cut.place === cut.text.length &&
    !cut.text.includes("100 Continue") &&
    (cut.ending === CutEnding.End || cut.ending === CutEnding.LateEnd)
  );
}

/** One line about a cut answer, for failed tests. */
export function describeCut(cut: CutAnswer): string {
  const sent = JSON.stringify(cut.text.slice(0, cut.place));
  return `${cut.ending} after ${sent}`;
}

/** Sends a cut answer. */
export async function sendCut(
  socket: net.Socket,
  { text, place, ending }: CutAnswer,
): Promise<void> {
  if (place > 0) socket.write(text.slice(0, place));
  switch (ending) {
    case CutEnding.End:
      socket.end();
      return;
    case CutEnding.LateEnd:
      await clock.sleep(PAUSE_MILLISECONDS);
      socket.end();
      return;
    case CutEnding.Reset:
      socket.resetAndDestroy();
      return;
    case CutEnding.Silence:
      return;
  }
}

/** Runs a task for each item, some at a time. */
export async function forEachAtOnce<T>(
  items: Iterable<T>,
  atOnce: number,
  task: (item: T, worker: number) => Promise<void>,
): Promise<number> {
  const iterator = items[Symbol.iterator]();
  let count = 0;
  const work = async (worker: number) => {
    for (let next = iterator.next(); !next.done; next = iterator.next()) {
      count++;
      await task(next.value, worker);
    }
  };
  await Promise.all(Array.from({ length: atOnce }, (_, index) => work(index)));
  return count;
}
