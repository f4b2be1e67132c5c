import * as meshLoad from "./mesh_load.ts";
import * as messageKind from "./message_kind.ts";

/** Items that describe one urgency. */
const URGENCY_LENGTH = 4;
/** Fractions of a request per second that are sent: hundredths. */
const RATE_SCALE = 100;

/**
 * Packs a load report into a plain list, in which a list for each service
 * follows the kind. Numbers are rounded: the receiver uses sums of many.
 */
export function meshLoadToList(load: meshLoad.MeshLoad): unknown[] {
  const services = load.services.slice(0, meshLoad.MAX_REPORTED_SERVICES);
  return [
    load.kind,
    ...services.map((report) => [
      report.service,
      Math.round(report.answerMilliseconds),
      Math.round(report.firstEventMilliseconds),
      ...report.urgencies.flatMap((item) => [
        item.urgency,
        item.running,
        item.waiting,
        Math.round(item.arrivalsPerSecond * RATE_SCALE),
      ]),
    ]),
  ];
}

/** Unpacks a list; `undefined` if it is no valid load report. */
export function meshLoadFromList(
  list: unknown[],
): meshLoad.MeshLoad | undefined {
  const items = list.slice(1);
  if (items.length > meshLoad.MAX_REPORTED_SERVICES) return undefined;
  const services: meshLoad.ServiceLoadReport[] = [];
  for (const item of items) {
    const report = Array.isArray(item) ? reportOf(item) : undefined;
    if (!report) return undefined;
    services.push(report);
  }
  return { kind: messageKind.MessageKind.MeshLoad, services };
}

function reportOf(list: unknown[]): meshLoad.ServiceLoadReport | undefined {
  const [service, ...rest] = list;
  if (typeof service !== "string") return undefined;
  if (!rest.every((item) => Number.isFinite(item))) return undefined;
  const [answerMilliseconds, firstEventMilliseconds, ...values] =
    rest as number[];
  if (firstEventMilliseconds === undefined) return undefined;
  if (values.length % URGENCY_LENGTH !== 0) return undefined;
  if (values.some((value) => value < 0)) return undefined;
  const urgencies: meshLoad.UrgencyLoad[] = [];
  for (let index = 0; index < values.length; index += URGENCY_LENGTH) {
    const [urgency, running, waiting, arrivals] = values.slice(index);
    if (urgency > meshLoad.LEAST_REPORTED_URGENCY) return undefined;
    const arrivalsPerSecond = arrivals / RATE_SCALE;
    urgencies.push({ urgency, running, waiting, arrivalsPerSecond });
  }
  if (urgencies.length > meshLoad.LEAST_REPORTED_URGENCY + 1) return undefined;
  return { service, answerMilliseconds, firstEventMilliseconds, urgencies };
}
