import * as processes from "./processes.mjs";

/** The project's upstream processes, one beside each rank of a group. */
export class Upstreams extends processes.Processes {
  /** Starts a process at each address, whose engine listens at `enginePort`. */
  async start({ addresses, enginePort, service, store }) {
    const linkPort = await processes.freePort(addresses[0]);
    for (const [index, address] of addresses.entries()) {
      this.settings.push({
        role: "upstream",
        host: `side-${index + 1}`,
        address,
        dataCentre: "z1",
        linkPort,
        store,
        linkMegabits: 14,
        stopSeconds: 8,
        runner: { address: `${address}:${enginePort}`, service },
      });
      this.startOne(index);
    }
  }
}
