import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";
import * as zod from "zod";

const NUMBER = zod.number().int().min(0);
const MAP: zod.ZodType<wire.ExpertMap> = zod.object({
  version: NUMBER,
  places: zod.array(zod.array(zod.array(NUMBER))),
});

/**
 * Expert maps in the object store. If ranks use different maps when a new
 * coordinator takes over, it reads the newest of these maps there and gives it
 * to all ranks.
 */
export class MapStore {
  constructor(
    readonly objects: backingServices.ObjectStore,
    readonly unreadable: common.UnreadableRows,
  ) {}

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

  /**
   * Reads a map; `undefined` if there is none, it can't be read, or the store
   * doesn't answer.
   */
  async read(
    group: string,
    version: number,
  ): Promise<wire.ExpertMap | undefined> {
    const read = await this.objects.get(objectName(group, version));
    if (read.isErr() || read.value === undefined) return undefined;
    const map = common.validateJson(MAP, read.value);
    // A map of another version would be staged under this one's number.
    if (map.isOk() && map.value.version === version) return map.value;
    const name = objectName(group, version);
    this.unreadable.note(
      name,
      read.value,
      map.isErr()
        ? map.error
        : [
            {
              path: "version",
              value: String(map.value.version),
              fix: `store version ${version}`,
            },
          ],
    );
    return undefined;
  }
}

function objectName(group: string, version: number): string {
  return `maps-${group}-${version}`;
}
