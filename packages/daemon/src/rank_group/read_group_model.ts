import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";

/** Pause before the store is read again. */
const RETRY_PAUSE_MILLISECONDS = 300;

/**
 * Reads the shape of a group's engines and the longest pause of its streams
 * from the configuration. Retries until the configuration describes the
 * engines; `undefined` if the signal aborts first.
 */
export async function readGroupModel(parameters: {
  configurationSource: traffic.DocumentSource<traffic.TrafficConfiguration>;
  service: string;
  logger: common.Logger;
  signal: AbortSignal;
}): Promise<wire.GroupModel | undefined> {
  const { configurationSource, service, logger, signal } = parameters;
  let isLogged = false;
  while (!signal.aborted) {
    const read = await configurationSource.next(0);
    if (read.isErr() && !isLogged) {
      isLogged = true;
      const code = common.EventCode.DocumentUnavailable;
      logger.event(code, { document: "configuration", ...read.error });
    }
    const value = read.isOk() ? read.value.value : undefined;
    const model = value && modelOf(value, service);
    if (model) return model;
    await common.sleep(RETRY_PAUSE_MILLISECONDS, signal);
  }
  return undefined;
}

/**
 * The model of a service's group; `undefined` if the configuration does not
 * describe its engines.
 */
function modelOf(
  configuration: traffic.TrafficConfiguration,
  service: string,
): wire.GroupModel | undefined {
  const { services, routes } = configuration;
  const shape = services.find(({ name }) => name === service)?.engine;
  if (!shape) return undefined;
  const gaps = routes.flatMap(({ shares, gapMilliseconds }) =>
    gapMilliseconds > 0 && shares.some((share) => share.service === service)
      ? [gapMilliseconds]
      : [],
  );
  return { shape, gapMilliseconds: gaps.length > 0 ? Math.min(...gaps) : 0 };
}
