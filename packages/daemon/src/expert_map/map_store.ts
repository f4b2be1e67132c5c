import type * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";

/**
 * Expert maps in the object store. If ranks use different maps when a new
 * coordinator takes over, it reads the newest of these maps there and gives it
 * to all ranks.
 */
export class MapStore {
  constructor(readonly objects: backingServices.ObjectStore) {}

  /**
   * Stores a map. Returns false if that failed. A coordinator stores each map
   * before it orders the ranks to stage the map, so that a successor can read
   * any map that ranks use.
   */
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
