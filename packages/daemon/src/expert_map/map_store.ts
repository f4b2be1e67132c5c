import type * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";

/** Expert maps in the object store, for the successor of a coordinator. */
export class MapStore {
  constructor(readonly objects: backingServices.ObjectStore) {}

  /** Keeps a map before it is staged; false when that failed. */
  async write(group: string, map: wire.ExpertMap): Promise<boolean> {
    const name = objectName(group, map.version);
    const written = await this.objects.put(name, JSON.stringify(map));
    return written.isOk();
  }

  /** Reads a map; `undefined` when there is none or no answer. */
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
