import * as traffic from "@geraniumkeel/traffic";

/** Longest answer that is held until it is complete. */
export const MAX_HELD_BYTES = 8 * 1024 * 1024;
/** Longest stream, which is passed on as it arrives. */
const MAX_STREAM_BYTES = 64 * 1024 * 1024;

/** Longest body of an answer of a form, chunks counted with an overhead. */
export function maxBodyBytes(form: traffic.AnswerForm): number {
  switch (form) {
    case traffic.AnswerForm.Whole:
      return MAX_HELD_BYTES;
    case traffic.AnswerForm.Events:
      return MAX_STREAM_BYTES;
  }
}
