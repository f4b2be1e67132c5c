/** Shape and speed of an engine group. */
export interface EngineModel {
  ranks: number;
  layers: number;
  experts: number;
  /** Expert slots a rank has per layer. */
  slots: number;
  /** Step time of an idle rank, in milliseconds. */
  baseMilliseconds: number;
  perSequenceMilliseconds: number;
  perCachedTokenMilliseconds: number;
  perPrefillTokenMilliseconds: number;
  /** Expert work of one token of the group, in milliseconds of one rank. */
  perExpertTokenMilliseconds: number;
  /** Prompt tokens a rank processes in a step. */
  prefillChunk: number;
  /** Sequences a rank may run at once. */
  batchLimit: number;
}

/** A group of today's size. */
export function engineModel(change: Partial<EngineModel> = {}): EngineModel {
  return {
    ranks: 16,
    layers: 2,
    experts: 32,
    slots: 3,
    baseMilliseconds: 6,
    perSequenceMilliseconds: 0.1,
    perCachedTokenMilliseconds: 0.0002,
    perPrefillTokenMilliseconds: 0.004,
    perExpertTokenMilliseconds: 0.4,
    prefillChunk: 512,
    batchLimit: 64,
    ...change,
  };
}
