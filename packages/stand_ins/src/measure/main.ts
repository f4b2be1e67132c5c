import * as commander from "commander";
import * as capacityGateway from "./capacity_gateway.ts";
import * as capacityLinks from "./capacity_links.ts";
import * as measureAdmission from "./measure_admission.ts";
import * as measureCapacity from "./measure_capacity.ts";
import * as measureChoice from "./measure_choice.ts";
import * as measureConfiguration from "./measure_configuration.ts";
import * as measureGroups from "./measure_groups.ts";
import * as measureLiveMap from "./measure_live_map.ts";
import * as measureOverhead from "./measure_overhead.ts";
import * as measurePlacement from "./measure_placement.ts";
import * as measureQuarantine from "./measure_quarantine.ts";
import * as measureReserve from "./measure_reserve.ts";
import * as measureReturn from "./measure_return.ts";
import * as measureRouting from "./measure_routing.ts";
import * as measureSurge from "./measure_surge.ts";
import * as measureSwitch from "./measure_switch.ts";

type Measurement = () => Promise<object> | object;

const MEASUREMENTS: Record<string, Measurement> = {
  admission: measureAdmission.measureAdmission,
  capacity: measureCapacity.measureCapacity,
  choice: measureChoice.measureChoice,
  gateway: capacityGateway.measureGateway,
  groups: measureGroups.measureGroups,
  links: capacityLinks.measureLinks,
  "live-map": measureLiveMap.measureLiveMap,
  configuration: measureConfiguration.measureConfiguration,
  overhead: measureOverhead.measureOverhead,
  placement: measurePlacement.measurePlacement,
  quarantine: measureQuarantine.measureQuarantine,
  reserve: measureReserve.measureReserve,
  return: measureReturn.measureReturn,
  routing: measureRouting.measureRouting,
  surge: measureSurge.measureSurge,
  switch: measureSwitch.measureSwitch,
};

const program = new commander.Command("measure")
  .description("measures one thing and prints its figures as JSON")
  .addArgument(
    new commander.Argument("<name>").choices(Object.keys(MEASUREMENTS)),
  )
  .parse();
const [name] = program.args;
const figures = await MEASUREMENTS[name]();
process.stdout.write(`${JSON.stringify(figures, null, 2)}\n`);
process.stdout.write(`${JSON.stringify(figures)}\n`);
process.exit(0);
