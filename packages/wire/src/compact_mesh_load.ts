import * as meshLoad from "./mesh_load.ts";
import * as messageKind from "./message_kind.ts";

/** Items that describe one account. */
const ACCOUNT_LENGTH = 3;
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
      report.accounts
        .slice(0, meshLoad.MAX_REPORTED_ACCOUNTS)
        .flatMap(({ account, urgency, arrivalsPerSecond }) => [
          account,
          urgency,
          scaled(arrivalsPerSecond),
        ]),
      ...report.urgencies.flatMap((item) => [
        item.urgency,
        item.running,
        item.waiting,
        scaled(item.arrivalsPerSecond),
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
  const [service, answer, firstEvent, accountList, ...values] = list;
  if (typeof service !== "string") return undefined;
  const accounts = Array.isArray(accountList)
    ? accountsOf(accountList)
    : undefined;
  const head = [answer, firstEvent];
  if (!accounts || !areFinite(head) || !areFinite(values)) return undefined;
  const [answerMilliseconds, firstEventMilliseconds] = head;
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
  return {
    service,
    answerMilliseconds,
    firstEventMilliseconds,
    accounts,
    urgencies,
  };
}

/** Demands from a flat list of account, urgency and rate in turn. */
function accountsOf(list: unknown[]): meshLoad.AccountDemand[] | undefined {
  const accounts: meshLoad.AccountDemand[] = [];
  for (let index = 0; index < list.length; index += ACCOUNT_LENGTH) {
    const [account, ...numbers] = list.slice(index, index + ACCOUNT_LENGTH);
    if (typeof account !== "string" || !areFinite(numbers)) return undefined;
    const [urgency, rate] = numbers;
    if (rate === undefined || rate < 0) return undefined;
    const arrivalsPerSecond = rate / RATE_SCALE;
    accounts.push({ account, urgency, arrivalsPerSecond });
  }
  const isBounded = accounts.length <= meshLoad.MAX_REPORTED_ACCOUNTS;
  return isBounded ? accounts : undefined;
}

function areFinite(items: unknown[]): items is number[] {
  return items.every((item) => Number.isFinite(item));
}

function scaled(perSecond: number): number {
  return Math.round(perSecond * RATE_SCALE);
}
