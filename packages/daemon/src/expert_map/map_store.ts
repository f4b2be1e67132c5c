import type * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";

/**
 * Expert maps in the object store. A coordinator's successor reads them there
 * to give all ranks the same map.
 */
export class MapStore {
  constructor(readonly objects: backingServices.ObjectStore) {}

  /** Stores a map, before it is staged. Returns false if that failed. */
  async write(group: string, map: wire.ExpertMap): Promise<boolean> {
    const name = objectName(group, map.version);
    const written = await this.objects.put(name, JSON.stringify(map));
    return written.isOk();
  }

  /** Reads a map; `undefined` if there is none or the store doesn't answer. */
  async read(
    group: string,
    version: number,
  ): Promise<wire.ExpertMap | undefined> {
    const read = await this.objects.get(objectName(group, version));
    if (read.isErr() || read.value === undefined) return undefined;
    return JSON.parse(read.value) as wire.ExpertMap;
  }
}

function objectName(group: string, version: number): string {
  return `maps-${group}-${version}`;
}
