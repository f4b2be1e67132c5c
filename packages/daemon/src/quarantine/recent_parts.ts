/** Number of a service's last requests by which the frequency of parts is told. */
const REMEMBERED_REQUESTS = 64;
/** Largest number of services that are remembered. */
const MAX_SERVICES = 256;

/** How often a part was there among a service's last requests. */
export interface PartFrequency {
  /** Requests that carried the part. */
  count: number;
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

  /** How frequent a part is among the last requests that carried parts. */
  frequencyOf(service: string, part: string): PartFrequency {
    const remembered = this.#services.get(service)?.parts ?? [];
    const count = remembered.filter((parts) => parts.includes(part)).length;
    return { count, of: remembered.length };
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
