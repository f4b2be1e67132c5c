import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import type * as wire from "@geraniumkeel/wire";
import type * as engineGroup from "./engine_group.ts";
import * as sequence from "./sequence.ts";

/** A map to be used from a step on. */
interface Armed {
  version: number;
  step: number;
  go: boolean;
}

/** Prefix blocks a rank can hold. */
const CACHE_BLOCKS = 2_048;
/** Time for which an ended sequence can still be resumed. */
const KEEP_MILLISECONDS = 30_000;

/** One rank: its batch, its prefix cache and its part in map switches. */
export class EngineRank {
  readonly sequencesById = new Map<string, sequence.Sequence>();
  map: wire.ExpertMap;
  staged: wire.ExpertMap | undefined;
  armed: Armed | undefined;
  /** Held at once by order, for engines without step numbers. */
  heldByOrder = false;
  held = false;
  fencing = 0;
  step = 0;
  lastMilliseconds = 0;
  lastStepMilliseconds = 0;
  readonly expertTokens: number[][];
  readonly events: engine.EngineCacheEvent[] = [];
  /** Times each identifier was started. */
  readonly starts = new Map<string, number>();
  /** Ends of this rank's engine, with the prompts that were under way. */
  readonly ends: { at: number; prompts: string[] }[] = [];
  /** Called when a request ends this rank's engine. */
  onEnd: () => void = () => {};
  readonly #cache = new Set<string>();
  #eventSequence = 0;
  #running: sequence.Sequence[] = [];
  #waiting: sequence.Sequence[] = [];

  constructor(
    readonly parameters: {
      group: engineGroup.EngineGroup;
      rank: number;
      map: wire.ExpertMap;
    },
  ) {
    this.map = parameters.map;
    const { layers, experts } = parameters.group.options.model;
    this.expertTokens = Array.from({ length: layers }, () =>
      Array.from({ length: experts }, () => 0),
    );
  }

  /** Whether there is anything to compute. */
  get busy(): boolean {
    return this.#running.length + this.#waiting.length > 0;
  }

  /** Sequences in the batch. */
  get sequences(): number {
    return this.#running.length;
  }

  /** Sequences that wait for the batch. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Tokens in the KV cache of the batch. */
  get cachedTokens(): number {
    return this.#running.reduce((sum, one) => sum + one.cachedTokens, 0);
  }

  /** Prompt tokens of the batch not processed yet. */
  get prefillTokens(): number {
    return this.#running.reduce((sum, one) => sum + one.prefillLeft, 0);
  }

  /** Tokens this rank computes in the next step. */
  get stepTokens(): number {
    return this.#running.length + this.#prefillNow();
  }

  /** Own time of the next step, in milliseconds. */
  timeOf(groupTokens: number, expertShare: number): number {
    const { model } = this.parameters.group.options;
    return (
      model.baseMilliseconds +
      model.perSequenceMilliseconds * this.sequences +
      model.perCachedTokenMilliseconds * this.cachedTokens +
      model.perPrefillTokenMilliseconds * this.#prefillNow() +
      model.perExpertTokenMilliseconds * groupTokens * expertShare
    );
  }

  /** Takes a new sequence. */
  add(call: engine.GenerateCall): sequence.Sequence {
    const { identifier } = call;
    const { group, rank } = this.parameters;
    group.onStart?.(rank, call);
    this.starts.set(identifier, (this.starts.get(identifier) ?? 0) + 1);
    const hit = this.#touchCache(call.prompt);
    const added = new sequence.Sequence(call, hit);
    this.sequencesById.set(identifier, added);
    this.#waiting.push(added);
    this.#waiting.sort((left, right) => left.call.urgency - right.call.urgency);
    return added;
  }

  /** Gives a sequence up. */
  cancel(identifier: string): void {
    this.sequencesById.get(identifier)?.finish("cancelled");
  }

  /** Ends the engine under what it runs; the map stays as it was. */
  end(): void {
    const lost = [...this.#running, ...this.#waiting];
    const prompts = lost.map(({ call }) => call.prompt);
    this.ends.push({ at: common.now(), prompts });
    for (const one of lost) one.finish("lost");
    this.sequencesById.clear();
    this.onEnd();
  }

  /** Applies what is due at a step, and holds where an order says so. */
  beforeStep(step: number): void {
    this.step = step;
    const { armed } = this;
    if (armed && armed.go && step >= armed.step) this.applyStaged();
    const waitsForGo = this.armed !== undefined && step >= this.armed.step;
    this.held = this.heldByOrder || waitsForGo;
  }

  /** Puts the staged map in use. */
  applyStaged(): void {
    if (this.staged) {
      this.map = this.staged;
      const { group, rank } = this.parameters;
      group.onMapUse?.(rank, group.step, this.map.version);
      if (rank === 0) group.history.switches++;
    }
    this.staged = undefined;
    this.armed = undefined;
  }

  /** Takes one step: every running sequence gets a token or some prefill. */
  advance(): void {
    const { model } = this.parameters.group.options;
    this.step = this.parameters.group.step;
    this.#dropEnded();
    while (this.#running.length < model.batchLimit) {
      const next = this.#waiting.shift();
      if (!next) break;
      this.#running.push(next);
    }
    let budget = model.prefillChunk;
    for (const running of this.#running) budget -= running.step(budget);
  }

  #prefillNow(): number {
    const { prefillChunk } = this.parameters.group.options.model;
    return Math.min(prefillChunk, this.prefillTokens);
  }

  #dropEnded(): void {
    this.#running = this.#running.filter((one) => !one.ended);
    this.#waiting = this.#waiting.filter((one) => !one.ended);
    const oldest = common.now() - KEEP_MILLISECONDS;
    for (const [identifier, one] of this.sequencesById) {
      if (one.ended && one.endedAt < oldest) {
        this.sequencesById.delete(identifier);
      }
    }
  }

  /** Tokens found in the prefix cache; what is new is stored and published. */
  #touchCache(prompt: string): number {
    const blocks = sequence.blocksOf(prompt);
    let hits = 0;
    while (hits < blocks.length && this.#cache.has(blocks[hits])) hits++;
    const stored = blocks.slice(hits);
    for (const block of blocks) {
      this.#cache.delete(block);
      this.#cache.add(block);
    }
    const removed: string[] = [];
    for (const block of this.#cache) {
      if (this.#cache.size <= CACHE_BLOCKS) break;
      this.#cache.delete(block);
      removed.push(block);
    }
    if (stored.length > 0) this.#publish(stored, removed);
    return (hits * engine.PREFIX_BLOCK_CHARACTERS) / 4;
  }

  #publish(stored: string[], removed: string[]): void {
    this.#eventSequence++;
    const { faults } = this.parameters.group;
    if (faults.dropCacheEvents > 0) {
      faults.dropCacheEvents--;
      return;
    }
    this.events.push({ sequence: this.#eventSequence, stored, removed });
    if (this.events.length > 1_000) this.events.shift();
  }
}
