import type * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as entryMesh from "../mesh/entry_mesh.ts";
import * as evacuations from "./evacuations.ts";

/** What the evacuations of a gateway need. */
export interface MeshEvacuationsParameters {
  mesh: () => entryMesh.EntryMesh;
  runners: traffic.ProvenValue<traffic.RunnerList>;
  epochTrusted: () => boolean;
  onEnd: () => void;
  logger: common.Logger;
  metrics: common.Metrics;
}

/** Creates the evacuations of an entry that exchanges the list over a mesh. */
export function evacuationsOfMesh(
  parameters: MeshEvacuationsParameters,
): evacuations.Evacuations {
  const { mesh, runners } = parameters;
  return new evacuations.Evacuations({
    ...parameters,
    newestReported: () =>
      Math.max(
        0,
        ...mesh()
          .known()
          .map(({ beat }) => beat?.evacuations.version ?? 0),
      ),
    dataCentres: () => {
      if (!runners.value || !mesh().membersKnown) return undefined;
      const places = [...runners.value.runners, ...mesh().knownMembers()];
      return new Set(places.map(({ dataCentre }) => dataCentre));
    },
  });
}
