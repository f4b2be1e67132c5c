import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon";
import * as neverthrow from "neverthrow";
import * as wire from "@geraniumkeel/wire";
import * as engineGroup from "../engine_group.ts";
import * as engineModel from "../engine_model.ts";
import * as engineOrders from "../engine_orders.ts";

const test = ava.default;

const GROUP = "group";
const RANKS = 4;
const SEEDS = 120;
const LEAD_STEPS = 24;

/** What stands between coordinators and engines. */
interface Gate {
  handle: daemon.OrderGate["handle"];
  incarnation: string;
}

/** A way of running that a test can weaken. */
interface Mechanism {
  checksFencing: boolean;
  mode: daemon.SwitchMode;
  gate: (incarnation: string, engine: daemon.OrderableEngine) => Gate;
}

const SOUND: Mechanism = {
  checksFencing: false,
  mode: daemon.SwitchMode.AtIteration,
  gate: (incarnation, engine) => new daemon.OrderGate(incarnation, engine),
};

/** Gate that passes every order on, whatever its fencing number. */
function openGate(incarnation: string, engine: daemon.OrderableEngine): Gate {
  return {
    incarnation,
    handle: async ({ order }) => {
      if (order.kind === wire.OrderKind.StageChanges) {
        const refusal = wire.OrderRefusal.UnknownBase;
        return { done: false, refusal, fencing: 0 };
      }
      const answer = await engine.order(order);
      return answer.isOk()
        ? { done: true, state: answer.value }
        : {
            done: false,
            refusal: answer.error.reason as wire.OrderRefusal,
            fencing: 0,
          };
    },
  };
}

/** A group without timers: a network of random delays and losses around it. */
class World {
  readonly group: engineGroup.EngineGroup;
  readonly gates: Gate[];
  readonly maps = new Map<number, wire.ExpertMap>();
  readonly random: common.Random;
  running = true;
  faulty = true;
  #incarnations = 0;

  constructor(
    seed: number,
    readonly mechanism: Mechanism,
  ) {
    this.random = new common.Random(seed);
    this.group = new engineGroup.EngineGroup({
      model: engineModel.engineModel({ ranks: RANKS, layers: 1, experts: 4 }),
      seed,
      checksFencing: mechanism.checksFencing,
      numbersSteps: mechanism.mode === daemon.SwitchMode.AtIteration,
    });
    this.gates = this.group.ranks.map((_, rank) => this.newGate(rank));
  }

  newGate(rank: number): Gate {
    const engine: daemon.OrderableEngine = {
      order: async (order) => {
        await turns(this.random.below(3));
        const answer = engineOrders.takeOrder(this.group.ranks[rank], order);
        if ("state" in answer) return neverthrow.ok(answer.state);
        const reason = answer.refusal;
        return neverthrow.err({ kind: "engine-refusal", reason });
      },
    };
    const incarnation = `${rank}/${++this.#incarnations}`;
    return this.mechanism.gate(incarnation, engine);
  }

  /** Port with delays, lost orders and lost answers. */
  port(rank: number): daemon.RankConnection {
    return {
      incarnations: () => [this.gates[rank].incarnation],
      order: async (order, agentIncarnation) => {
        await turns(this.random.below(this.faulty ? 12 : 2));
        if (this.faulty && this.random.fraction() < 0.05) return undefined;
        const gate = this.gates[rank];
        const answer = await gate.handle({ agentIncarnation, order });
        await turns(this.random.below(this.faulty ? 12 : 2));
        const lost = this.faulty && this.random.fraction() < 0.05;
        return lost ? undefined : answer;
      },
    };
  }

  /** Becomes coordinator and tries a few switches, until the signal aborts. */
  async coordinate(fencing: number, signal: AbortSignal): Promise<string> {
    const ports = this.group.ranks.map((_, rank) => this.port(rank));
    const term = new daemon.GroupTerm({
      group: GROUP,
      fencing,
      connections: ports,
      signal,
      withoutPauses: true,
    });
    const readMap = async (version: number) => this.maps.get(version);
    const taken = await daemon.takeOver({ term, readMap });
    if (taken.kind !== "ready") return taken.kind;
    let inForce = this.maps.get(taken.version);
    for (let turn = 1; turn <= 3 && !signal.aborted; turn++) {
      const map = this.newMap(fencing * 100 + turn);
      const changes = inForce && wire.changesBetween(inForce, map);
      const { mode } = this.mechanism;
      const leadSteps = LEAD_STEPS;
      const ended = await daemon.switchMap({
        term,
        map,
        changes,
        mode,
        minLeadIterations: leadSteps,
      });
      if (ended.kind === daemon.SwitchOutcomeKind.Committed) inForce = map;
    }
    return "done";
  }

  newMap(version: number): wire.ExpertMap {
    const places = Array.from({ length: RANKS }, () => [
      this.random.below(RANKS),
    ]);
    const map = { version, places: [places] };
    this.maps.set(version, map);
    return map;
  }

  async step(): Promise<void> {
    while (this.running) {
      this.group.tryStep();
      await turns(2);
    }
  }

  /** Restarts agents now and then. */
  async restart(): Promise<void> {
    while (this.running && this.faulty) {
      await turns(20 + this.random.below(120));
      if (!this.faulty) return;
      const rank = this.random.below(RANKS);
      this.gates[rank] = this.newGate(rank);
    }
  }
}

function turns(count: number): Promise<void> {
  return new Promise((resolve) => {
    const next = (left: number) => {
      if (left <= 0) return resolve();
      setImmediate(() => next(left - 1));
    };
    next(count);
  });
}

/** Duelling coordinators in a bad network; returns the mixed steps. */
async function duel(world: World): Promise<number> {
  const background = [world.step(), world.restart()];
  const abort = new AbortController();
  const coordinators = [1, 2, 3].map(async (fencing) => {
    await turns(world.random.below(60));
    return world.coordinate(fencing, abort.signal);
  });
  const ended = Promise.all(coordinators);
  await Promise.race([ended, turns(900)]);
  abort.abort();
  await ended;
  world.faulty = false;
  const { mixedSteps } = world.group.history;
  const result = await world.coordinate(99, new AbortController().signal);
  world.running = false;
  await Promise.all(background);
  if (result !== "done") throw new Error(`last coordinator: ${result}`);
  return mixedSteps + (world.group.history.mixedSteps - mixedSteps);
}

async function mixedSteps(mechanism: Mechanism): Promise<number> {
  let mixed = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    mixed += await duel(new World(seed, mechanism));
  }
  return mixed;
}

// Three coordinators order the same ranks at the same time; orders and answers
// are late and lost, agents are replaced in between. Whatever is left half done,
// the last coordinator settles, and no step ever ran with two maps.
test("no step has two maps, engines that ignore fencing", async (t) => {
  t.is(await mixedSteps(SOUND), 0);
});

test("no step has two maps, engines that check fencing", async (t) => {
  t.is(await mixedSteps({ ...SOUND, checksFencing: true }), 0);
});

test("no step has two maps, engines without step numbers", async (t) => {
  const mode = daemon.SwitchMode.HoldAll;
  t.is(await mixedSteps({ ...SOUND, mode }), 0);
});

// The same duels with the gate left open: a coordinator that was superseded
// still cancels what its successor has armed, and ranks part ways.
test("without fencing at the agents the duels do mix maps", async (t) => {
  const mode = daemon.SwitchMode.HoldAll;
  const mixed = await mixedSteps({ ...SOUND, mode, gate: openGate }).catch(
    () => Infinity,
  );
  t.true(mixed > 0);
});
