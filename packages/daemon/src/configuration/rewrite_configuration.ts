import type * as configuration from "@geraniumkeel/configuration";
import type * as configurationHolder from "./configuration_holder.ts";
import type * as configurationStore from "./configuration_store.ts";

/**
 * Writes the configuration in force to the table as a new revision, in place of
 * the older head `base` that the table has. So changes stay in force once they
 * are reported to operators as accepted. If an operator changes the older head
 * at the same moment, either the operator's change gets a conflict, or it is
 * committed and all entries adopt it. Returns whether the configuration was
 * written.
 */
export async function rewriteConfiguration(parameters: {
  currentConfiguration: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  base: configurationStore.ReadHead | undefined;
}): Promise<boolean> {
  const { currentConfiguration, store, base } = parameters;
  const { view } = currentConfiguration;
  if (!view) return false;
  const baseTexts = await textsOf(parameters);
  if (!baseTexts) return false;
  const { document } = view;
  const inForce = currentConfiguration.revision;
  const outcome = await store.commit({ base, baseTexts, document, inForce });
  if (outcome.kind !== "committed") return false;
  currentConfiguration.adopt(outcome.head, outcome.sections);
  return true;
}

/**
 * Section texts of the table's head; `undefined` if the sections cannot be
 * read.
 */
async function textsOf(parameters: {
  currentConfiguration: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  base: configurationStore.ReadHead | undefined;
}): Promise<configuration.Sections | undefined> {
  const { currentConfiguration, store, base } = parameters;
  if (!base) return {};
  const ownRevisions = currentConfiguration.sectionRevisions();
  const read = await store.readSections(base.head, ownRevisions);
  if (read.isErr() || !read.value) return undefined;
  const texts: configuration.Sections = {};
  for (const [name, revision] of Object.entries(base.head.sections)) {
    const own =
      ownRevisions[name] === revision
        ? currentConfiguration.view?.texts[name]
        : undefined;
    const text =
      own ?? read.value.find((section) => section.name === name)?.text;
    if (text !== undefined) texts[name] = text;
  }
  return texts;
}
