import * as common from "@geraniumkeel/common";
import * as provisionalVersion from "./provisional_version.ts";
import * as readContinuity from "./read_continuity.ts";

/** A document of which newer versions replace older ones. */
export interface Versioned {
  version: number;
}

/**
 * The newest version of a document that this process knows, and until when it is
 * proved that there was no newer one. The version never goes down, however old
 * the source that is heard.
 */
export class ProvenValue<T extends Versioned> {
  #value: T | undefined;
  #provenAt: common.Instant | undefined;
  #takenAt: common.Instant | undefined;
  readonly changes = new common.ChangeNotice();

  /** `reads`: when the source of the document was read. */
  constructor(readonly reads = new readContinuity.ReadContinuity()) {}

  /** The document, or `undefined` before the first. */
  get value(): T | undefined {
    return this.#value;
  }

  /** Version of the document; 0 before the first. */
  get version(): number {
    return this.#value?.version ?? 0;
  }

  /** Milliseconds for which a newer version may have gone unseen. */
  get age(): number {
    if (!this.#value || !this.#provenAt) return Infinity;
    return common.ageOf(this.#provenAt);
  }

  /** Milliseconds since the document was taken; 0 before the first. */
  get heldMilliseconds(): number {
    return this.#takenAt ? common.ageOf(this.#takenAt) : 0;
  }

  /** Takes a version if it is newer than the one held; whether it was. */
  offer(value: T): boolean {
    if (this.#value && value.version <= this.#value.version) return false;
    this.#value = value;
    this.#takenAt = common.instant();
    this.changes.announce();
    return true;
  }

  /**
   * Notes that `version` was the newest at a moment. It says nothing of what is
   * held if that is older: then the newer document has yet to arrive. A provisional
   * version proves only a provisional document, as its reader may have missed what
   * made another one old.
   */
  prove(version: number, at: common.Instant): void {
    this.reads.note(at);
    if (!this.#value || version > this.#value.version) return;
    if (
      provisionalVersion.isProvisional(version) &&
      !provisionalVersion.isProvisional(this.#value.version)
    ) {
      return;
    }
    if (this.#provenAt && at.monotonic <= this.#provenAt.monotonic) return;
    this.#provenAt = at;
  }
}
