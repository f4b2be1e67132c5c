/** Replica places per layer and expert: `ranksOfExpert[layer][expert]`. */
export type ExpertPlaces = number[][][];

/** One expert map; a higher version is newer. */
export interface ExpertMap {
  version: number;
  places: ExpertPlaces;
}
