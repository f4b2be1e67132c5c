/** One log line of one process, as far as explaining needs it. */
export interface LogLine {
  time: string;
  host: string;
  msg: string;
  [field: string]: unknown;
}

/** One attempt of a request, as an entry logs it. */
interface Attempt {
  runner: string;
  end: string;
  reason: string;
  milliseconds: number;
}

/** What decided about a request at a runner with a request rate limit. */
interface RateLimitTrace {
  runner: string;
  /** What sets the limit; not told by entries of an older version. */
  source?: string;
  perSecond: number;
  share: number;
  allocator: string;
  age: number;
  wait: number;
}

/** A request's way and the cause of its end. */
export interface Explanation {
  /** Lines about the request, in order of time. */
  way: string[];
  /** The cause in one sentence. */
  cause: string;
}

/** Age in milliseconds from which a configuration counts as old in a sentence. */
const OLD_MILLISECONDS = 2_000;

/**
 * Reads log lines; whatever stands before the first brace of a line, as a
 * collector may put it, is passed over, as are lines of other programs.
 */
export function readLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const line of text.split("\n")) {
    const start = line.indexOf("{");
    if (start < 0) continue;
    try {
      const parsed = JSON.parse(line.slice(start)) as Partial<LogLine>;
      if (parsed.msg !== undefined && parsed.time)
        lines.push(parsed as LogLine);
    } catch {
      // A line that was cut, or of another program: it tells nothing here.
    }
  }
  return lines;
}

/** The way of a request over all processes, and why it ended as it did. */
export function explainRequest(
  identifier: string,
  lines: LogLine[],
): Explanation {
  const about = lines
    .filter(({ request }) => request === identifier)
    .sort((left, right) => (left.time < right.time ? -1 : 1));
  const way = about.flatMap((line) => describe(line));
  const last = about.at(-1);
  if (!last) {
    return { way, cause: `No process logged request ${identifier}.` };
  }
  return { way, cause: causeOf(last, lines) };
}

function describe(line: LogLine): string[] {
  const head = `${line.time} ${line.host} ${line.msg}`;
  const attempts = attemptsOf(line).map(
    ({ runner, end, reason, milliseconds }) =>
      `  at ${runner}: ${end}${reason ? ` (${reason})` : ""} after ${milliseconds} ms`,
  );
  const facts = [
    "route",
    "account",
    "service",
    "kind",
    "reason",
    "end",
    "fingerprint",
  ]
    .filter((name) => line[name])
    .map((name) => `${name} ${text(line[name])}`);
  const version = `configuration ${text(line.version)}, proved ${text(line.age)} ms before`;
  const limit = rateLimitOf(line);
  const waited = limit ? [`  ${rateLimitFacts(limit)}`] : [];
  return [`${head}: ${[...facts, version].join(", ")}`, ...waited, ...attempts];
}

function causeOf(line: LogLine, lines: LogLine[]): string {
  const where = `entry ${line.host}`;
  if (line.msg === "ForwardRefused") return refusalCause(line, lines);
  const attempts = attemptsOf(line);
  const last = attempts.at(-1);
  const tried = `${attempts.length} runner${attempts.length === 1 ? "" : "s"}`;
  switch (line.end) {
    case "quarantined":
      return quarantineCause(line, lines);
    case "answered":
      return `It was answered by ${last?.runner} through ${where} in ${text(line.milliseconds)} ms.`;
    case "not-run": {
      const limit = rateLimitOf(line);
      if (limit) return `Refused at a rate limit: ${rateLimitFacts(limit)}.`;
      return attempts.length === 0
        ? `Refused under load or loss: ${where} knew no runner of the service that took work.`
        : `Refused under load or loss: ${tried} would not take it (${last?.reason}).`;
    }
    case "timed-out":
      return `Its time ran out at ${where} while ${last?.runner} had it.`;
    case "left":
      return `The caller left ${where} after ${text(line.milliseconds)} ms.`;
    default:
      return `Lost with its runner: ${last?.runner} ended it (${last?.end}: ${last?.reason}) after ${tried}.`;
  }
}

/** How the key of a prompt part begins; a request's is its fingerprint. */
const PART_KEY_PREFIX = "part:";

/** Since when, for which runners' ends and seen by whom a request is held. */
function quarantineCause(line: LogLine, lines: LogLine[]): string {
  const { fingerprint } = line;
  const held = lines
    .filter(({ msg }) => msg === "RequestQuarantined")
    .filter((one) => one.fingerprint === fingerprint && one.time <= line.time)
    .sort((left, right) => (left.time < right.time ? -1 : 1))
    .at(0);
  const subject = `Held in quarantine as ${text(fingerprint)}`;
  if (!held) return `${subject}: no log here says since when.`;
  const ends = (held.ends as { runner: string; seenBy: string[] }[])
    .map(({ runner, seenBy }) => `${runner} (seen by ${seenBy.join(", ")})`)
    .join(", ");
  const ran = text(fingerprint).startsWith(PART_KEY_PREFIX)
    ? "requests with this part of a prompt"
    : "it";
  return `${subject} since ${held.time}: these runners ended while they ran ${ran}: ${ends}.`;
}

function refusalCause(line: LogLine, lines: LogLine[]): string {
  const reason = text(line.reason);
  const age = Number(line.age);
  const store = lines.find(
    ({ host, msg, time }) =>
      host === line.host && msg === "DocumentUnavailable" && time <= line.time,
  );
  const why = store ? `; its store gave nothing (${text(store.reason)})` : "";
  if (age > OLD_MILLISECONDS) {
    return `Refused for an old configuration: ${line.host} had no proof for ${age} ms that version ${text(line.version)} was the newest${why} (${reason}).`;
  }
  return `Refused by configuration ${text(line.version)}, proved ${age} ms before: ${reason}.`;
}

function rateLimitOf(line: LogLine): RateLimitTrace | undefined {
  return line.rateLimit as RateLimitTrace | undefined;
}

function rateLimitFacts(limit: RateLimitTrace): string {
  const { runner, perSecond, share, allocator, age, wait } = limit;
  const part = `this entry allocates ${share.toFixed(2)} of it, ${allocator || "nobody"} its share`;
  const kind = limit.source === "warm-up" ? "warm-up limit" : "rate limit";
  return `turn after ${wait} ms within the ${kind} of ${runner}, ${perSecond} a second (${part}, as of ${age} ms before)`;
}

function attemptsOf(line: LogLine): Attempt[] {
  return Array.isArray(line.attempts) ? (line.attempts as Attempt[]) : [];
}

function text(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value ?? "unknown");
}
