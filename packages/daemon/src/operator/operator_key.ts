import * as common from "@geraniumkeel/common";

/** Whether a key is one of those whose hashes are in the settings. */
export function isSettingsOperator(
  key: string | undefined,
  hashes: string[],
): boolean {
  if (key === undefined) return false;
  const hash = common.hashKey(key);
  return hashes.some((known) => common.equalInConstantTime(known, hash));
}
