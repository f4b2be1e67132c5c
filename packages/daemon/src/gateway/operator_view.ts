import type * as runnerTracker from "../forwarding/runner_tracker.ts";
import * as evacuationView from "../evacuation/evacuation_view.ts";
import * as problem from "../operator/problem.ts";
import type * as gatewayModule from "./gateway.ts";

/** Path of a quarantined request, up to its fingerprint. */
const QUARANTINE_PATH = "/admin/v1/quarantine/";

/** An answer to an operator. */
export interface OperatorAnswer {
  status: number;
  mediaType: string;
  body: string;
}

/** State of an entry, as this entry knows it. */
enum EntryState {
  Ready = "ready",
  NotReady = "not-ready",
  Leaving = "leaving",
  /** Known from its row or from other entries, but not reachable. */
  Unreachable = "unheard",
}

/** What the answers say about an entry. */
interface EntryView {
  host: string;
  /** Data centre. */
  place: string;
  state: EntryState;
  /** Version of the entry's configuration; -1 if unknown. */
  revision: number;
}

/**
 * Answers the command-line tool's requests to a gateway, under the paths and in
 * the formats of the daemon's own interface for operators (folder `operator`),
 * so that `status`, `hosts`, `state`, `rate-limits`, `evacuations` and
 * `quarantine` show the same columns for a gateway and for the daemon's entries.
 * The configuration cannot be changed here, because a gateway only follows it. The only change
 * that a gateway accepts is to lift a quarantine; it answers every other request
 * but GET with "read only".
 */
export function answerOperator(
  gateway: gatewayModule.Gateway,
  method: string,
  path: string,
): OperatorAnswer {
  if (method === "DELETE" && path.startsWith(QUARANTINE_PATH)) {
    return liftQuarantine(gateway, path.slice(QUARANTINE_PATH.length));
  }
  if (method !== "GET") return refusal(405, "this entry is read only");
  switch (path) {
    case "/admin/v1/quarantine":
      return jsonAnswer(gateway.quarantine.cases());
    case "/admin/v1/rate-limits":
      return jsonAnswer(gateway.rateLimits.describe());
    case "/admin/v1/evacuations":
      return jsonAnswer(evacuationsOf(gateway));
    case "/admin/v1/status":
      return jsonAnswer(statusOf(gateway));
    case "/admin/v1/hosts":
      return jsonAnswer(hostsOf(gateway));
    case "/admin/v1/state":
    case `/admin/v1/state?host=${encodeURIComponent(gateway.host)}`:
      return jsonAnswer(gateway.describe());
    default:
      return refusal(404, "ask the process itself for its state");
  }
}

function evacuationsOf({
  host,
  evacuations,
  mesh,
}: gatewayModule.Gateway): evacuationView.EvacuationView[] {
  const { version } = evacuations.list;
  const others = mesh.known().map(({ member, beat }) => ({
    host: member.host,
    inForce: beat !== undefined && beat.evacuations.version >= version,
  }));
  const entries = [{ host, inForce: true }, ...others];
  return evacuationView.evacuationViews(evacuations.inForce(), entries);
}

function liftQuarantine(
  gateway: gatewayModule.Gateway,
  fingerprint: string,
): OperatorAnswer {
  if (gateway.quarantine.lift(fingerprint)) {
    return jsonAnswer({ fingerprint, lifted: true });
  }
  const notFound = problem.notInQuarantine(fingerprint);
  const mediaType = problem.PROBLEM_MEDIA_TYPE;
  return {
    status: notFound.status,
    mediaType,
    body: problem.problemBody(notFound),
  };
}

/**
 * What `geraniumkeel status` shows. Some fields have a narrower meaning than at
 * the daemon's entries: `presetInForce` is null; `stale` says that the
 * gateway is not ready although it is not stopping, because it has no runner
 * list or its configuration's proof is too old; a runner's `host` is its
 * identifier, `linked` says that it is not suspended, and `sequences` are its
 * requests in progress from all entries.
 */
function statusOf(gateway: gatewayModule.Gateway): unknown {
  return {
    host: gateway.host,
    revision: gateway.configuration.version,
    presetInForce: null,
    draining: gateway.stopping,
    stale: !gateway.ready && !gateway.stopping,
    requests: gateway.forwarder.underWay,
    entries: entriesOf(gateway),
    runners: gateway.runnerTracker.runners().map((runner) => ({
      host: runner.identifier,
      service: runner.service,
      place: runner.dataCentre,
      linked: !runner.spared,
      leaving: runner.leaving,
      sequences: runner.outstanding,
    })),
  };
}

/**
 * What `geraniumkeel hosts` shows. `listed` is "live" for each entry, also one
 * that is leaving or unreachable, and for each runner that is not listed as
 * leaving; `seen` is the state that this gateway knows.
 */
function hostsOf(gateway: gatewayModule.Gateway): unknown {
  const entries = entriesOf(gateway).map(({ host, place, state }) => ({
    name: host,
    role: "entry",
    place,
    service: "",
    listed: "live",
    seen: state,
  }));
  const runners = gateway.runnerTracker.runners().map((runner) => ({
    name: runner.identifier,
    role: "upstream",
    place: runner.dataCentre,
    service: runner.service,
    listed: runner.leaving ? "leaving" : "live",
    seen: runnerStateOf(runner),
  }));
  return [...entries, ...runners];
}

/**
 * State of a runner in `hosts`. "spared" means suspended; "in use" means neither
 * leaving nor suspended.
 */
function runnerStateOf(runner: runnerTracker.TrackedRunner): string {
  if (runner.leaving) return "leaving";
  return runner.spared ? "spared" : "in use";
}

function entriesOf(gateway: gatewayModule.Gateway): EntryView[] {
  const own: EntryView = {
    host: gateway.host,
    place: gateway.dataCentre,
    state: stateOf(gateway.ready, gateway.stopping),
    revision: gateway.configuration.version,
  };
  const others = gateway.mesh.known().map(({ member, beat }): EntryView => {
    const { host, dataCentre } = member;
    const state = beat
      ? stateOf(beat.ready, beat.leaving)
      : EntryState.Unreachable;
    const revision = beat?.configuration.version ?? -1;
    return { host, place: dataCentre, state, revision };
  });
  return [own, ...others];
}

function stateOf(ready: boolean, leaving: boolean): EntryState {
  if (leaving) return EntryState.Leaving;
  return ready ? EntryState.Ready : EntryState.NotReady;
}

function jsonAnswer(value: unknown): OperatorAnswer {
  const body = JSON.stringify(value);
  return { status: 200, mediaType: "application/json", body };
}

function refusal(status: number, detail: string): OperatorAnswer {
  const body = problem.problemBody({
    status,
    title: status === 404 ? "Nothing there" : "Not allowed",
    outcome: problem.Outcome.NotRun,
    reason: "not-served-here",
    detail,
  });
  return { status, mediaType: problem.PROBLEM_MEDIA_TYPE, body };
}
