/** Number of a service's last requests by which the frequency of parts is told. */
const REMEMBERED_REQUESTS = 64;
/** Largest number of services that are remembered. */
const MAX_SERVICES = 256;

/** How often parts were there among a service's last requests. */
export interface PartCounts {
  /** By part, the number of requests that carried it. */
  counts: ReadonlyMap<string, number>;
  /** Requests that were looked at. */
  of: number;
}

interface ServiceRequests {
  /** Parts of the last requests, in a ring. */
  parts: (readonly string[])[];
  next: number;
}

/**
 * Remembers the prompt parts of the last requests, from which it tells how
 * frequent a part is. Noting a request costs no more than a step in a ring.
 */
export class RecentParts {
  readonly #services = new Map<string, ServiceRequests>();

  /** Notes a request that arrived. */
  note(service: string, parts: readonly string[]): void {
    if (parts.length === 0) return;
    const requests = this.#requestsOf(service);
    requests.parts[requests.next] = parts;
    requests.next = (requests.next + 1) % REMEMBERED_REQUESTS;
  }

  /** Counts the parts among the last requests that carried parts. */
  countsOf(service: string): PartCounts {
    const remembered = this.#services.get(service)?.parts ?? [];
    const counts = new Map<string, number>();
    for (const part of remembered.flat())
      counts.set(part, (counts.get(part) ?? 0) + 1);
    return { counts, of: remembered.length };
  }

  #requestsOf(service: string): ServiceRequests {
    const known = this.#services.get(service);
    if (known) return known;
    if (this.#services.size >= MAX_SERVICES) this.#services.clear();
    const requests = { parts: [], next: 0 };
    this.#services.set(service, requests);
    return requests;
  }
}
