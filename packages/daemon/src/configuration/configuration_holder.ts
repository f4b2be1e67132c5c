import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import type * as wire from "@geraniumkeel/wire";

/** What became of a configuration that was heard. */
export enum AdoptOutcome {
  Adopted = "adopted",
  /** Not newer than the one in force: ignored. */
  Old = "old",
  /** Sections are missing; they must be asked for. */
  Incomplete = "incomplete",
}

/**
 * The configuration in force in this process. Its revision only grows: a stale
 * answer of the store or of a peer would otherwise undo an accepted change.
 */
export class ConfigurationHolder {
  readonly changed = new common.ChangeNotice();
  #view: configuration.ConfigurationView | undefined;
  /** Highest revision heard of, in force or not. */
  #highestKnownRevision = 0;

  constructor(
    readonly parameters: {
      logger: common.Logger;
      history: common.HistoryRecorder;
      host: string;
    },
  ) {}

  /** The configuration in force, once there is one. */
  get view(): configuration.ConfigurationView | undefined {
    return this.#view;
  }

  /** Revision in force; 0 before the first. */
  get revision(): number {
    return this.#view?.head.revision ?? 0;
  }

  /** Whether another process is known to have a newer revision. */
  get behind(): boolean {
    return this.#highestKnownRevision > this.revision;
  }

  /** Notes a revision named by a peer or the store. */
  noteRevision(revision: number): void {
    this.#highestKnownRevision = Math.max(this.#highestKnownRevision, revision);
  }

  /** Section revisions held, to ask only for the others. */
  sectionRevisions(): Record<string, number> {
    return this.#view?.head.sections ?? {};
  }

  /** What a process that holds `held` lacks. */
  sectionsMissingFor(
    sectionRevisions: Record<string, number>,
  ): wire.SectionPush[] {
    const view = this.#view;
    if (!view) return [];
    return Object.entries(view.head.sections)
      .filter(([name, revision]) => sectionRevisions[name] !== revision)
      .map(([name, revision]) => ({ name, revision, text: view.texts[name] }));
  }

  /** Puts a committed configuration in force if it is newer. */
  adopt(head: configuration.Head, pushed: wire.SectionPush[]): AdoptOutcome {
    this.noteRevision(head.revision);
    if (head.revision <= this.revision) {
      if (head.revision < this.revision) this.#reportStale(head.revision);
      return AdoptOutcome.Old;
    }
    const texts = this.#assemble(head, pushed);
    if (!texts) return AdoptOutcome.Incomplete;
    this.#view = new configuration.ConfigurationView(head, texts);
    const { revision, presetInForce: preset } = head;
    const { logger, history, host } = this.parameters;
    logger.event(common.EventCode.ConfigurationInForce, { revision, preset });
    history.record({ kind: "in-force", host, revision, preset });
    this.changed.announce();
    return AdoptOutcome.Adopted;
  }

  #assemble(
    head: configuration.Head,
    pushed: wire.SectionPush[],
  ): configuration.Sections | undefined {
    const texts: configuration.Sections = {};
    for (const [name, revision] of Object.entries(head.sections)) {
      const isUnchanged = this.sectionRevisions()[name] === revision;
      const text = isUnchanged
        ? this.#view?.texts[name]
        : pushed.find((one) => one.name === name && one.revision === revision)
            ?.text;
      if (text === undefined) return undefined;
      texts[name] = text;
    }
    return texts;
  }

  #reportStale(revision: number): void {
    const inForce = this.revision;
    const code = common.EventCode.ConfigurationStale;
    this.parameters.logger.event(code, { heard: revision, inForce });
  }
}
