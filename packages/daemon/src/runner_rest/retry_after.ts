/** Decimal number of seconds. */
const SECONDS = /^\d{1,9}(\.\d{1,9})?$/;
/** A date of HTTP names its weekday first. */
const DATE = /^[A-Z][a-z]{2,8},? /;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Milliseconds that a `Retry-After` header asks for, as seconds or as a date of
 * HTTP; `undefined` if it asks for none or cannot be read. `wallTime` is this
 * host's time of day in Unix milliseconds.
 */
export function readRetryAfter(
  value: string | undefined,
  wallTime: number,
): number | undefined {
  const text = value?.trim() ?? "";
  if (SECONDS.test(text)) {
    return positive(Number(text) * MILLISECONDS_PER_SECOND);
  }
  return DATE.test(text) ? positive(Date.parse(text) - wallTime) : undefined;
}

function positive(milliseconds: number): number | undefined {
  return milliseconds > 0 ? milliseconds : undefined;
}
