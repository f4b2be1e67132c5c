import * as commander from "commander";
import * as engineModel from "./engine_model.ts";
import * as engineStandIn from "./engine_stand_in.ts";
import * as plainStandIn from "./plain_stand_in.ts";
import * as platformStandIn from "./platform_stand_in.ts";

/** Prints where a stand-in listens, as its first line of output. */
function announce(urls: string[]): void {
  process.stdout.write(`${JSON.stringify({ urls })}\n`);
}

const program = new commander.Command("stand-ins").description(
  "stand-ins for development: platform, engine group, plain service",
);
program
  .command("platform")
  .option("--port <port>", "port", "0")
  .action(async ({ port }: { port: string }) => {
    announce([(await platformStandIn.startPlatform(Number(port))).url]);
  });
program
  .command("plain")
  .option("--port <port>", "port", "0")
  .action(async ({ port }: { port: string }) => {
    announce([(await plainStandIn.startPlain(Number(port))).url]);
  });
program
  .command("engine")
  .option("--port <port>", "port of rank 0", "0")
  .option("--ranks <ranks>", "ranks of the group", "16")
  .option("--seed <seed>", "seed of the expert popularity", "1")
  .action(async (given: { port: string; ranks: string; seed: string }) => {
    const engine = await engineStandIn.startEngine(
      {
        model: engineModel.engineModel({ ranks: Number(given.ranks) }),
        seed: Number(given.seed),
        checksFencing: true,
        numbersSteps: true,
      },
      Number(given.port),
    );
    announce(engine.urls);
  });

await program.parseAsync();
