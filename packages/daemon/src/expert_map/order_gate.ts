import * as engineModule from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import * as mapCache from "./map_cache.ts";

/** The part of an engine client that sends orders to the engine. */
export interface OrderableEngine {
  order: engineModule.HttpEngine["order"];
}

/** Values of the fields that an engine leaves out of its answer. */
function defaultState(): wire.RankState {
  return {
    step: 0,
    mapVersion: 0,
    stagedVersion: 0,
    armedVersion: 0,
    armedStep: 0,
    goVersion: 0,
    held: false,
    expertTokens: [],
  };
}

/**
 * Passes orders of a group's coordinators to one rank's engine and enforces
 * fencing, also for engines that ignore it: after a promise, orders with a
 * lower fencing number never reach the engine. A new incarnation of the agent
 * starts without a promise. Each order names the incarnation that promised, so
 * a new incarnation refuses orders of a coordinator that got its promise before
 * the restart, even if that coordinator has the highest fencing number.
 */
export class OrderGate {
  readonly #mapCache = new mapCache.MapCache();
  #promisedFencing = 0;
  /**
   * Completes with the latest order received. Orders run one at a time, so a
   * promise takes effect after all orders received earlier.
   */
  #previous: Promise<unknown> = Promise.resolve();

  constructor(
    readonly incarnation: string,
    readonly engine: OrderableEngine,
  ) {}

  /** Fencing number that this incarnation has promised; 0 if none. */
  get promisedFencing(): number {
    return this.#promisedFencing;
  }

  /**
   * Carries out an order after all earlier ones, and returns the engine's state
   * or the reason for a refusal.
   */
  handle(parameters: {
    agentIncarnation: string;
    order: wire.Order;
  }): Promise<wire.OrderAnswer> {
    const answer = this.#previous.then(() => this.#execute(parameters));
    this.#previous = answer;
    return answer;
  }

  async #execute(parameters: {
    agentIncarnation: string;
    order: wire.Order;
  }): Promise<wire.OrderAnswer> {
    const { agentIncarnation, order } = parameters;
    if (agentIncarnation !== this.incarnation) {
      return this.#refuse(wire.OrderRefusal.OldIncarnation);
    }
    if (order.fencing < this.#promisedFencing) {
      return this.#refuse(wire.OrderRefusal.OldFencing);
    }
    if (order.kind === wire.OrderKind.Promise) {
      this.#promisedFencing = order.fencing;
    } else if (order.fencing !== this.#promisedFencing) {
      return this.#refuse(wire.OrderRefusal.NotPromised);
    }
    const engineOrder = this.#engineOrder(order);
    if (!engineOrder) return this.#refuse(wire.OrderRefusal.UnknownBase);
    const answer = await this.engine.order(engineOrder);
    if (answer.isOk()) {
      if (engineOrder.kind === wire.OrderKind.Stage) {
        this.#mapCache.put(engineOrder.map);
      }
      return { done: true, state: { ...defaultState(), ...answer.value } };
    }
    return this.#refuse(refusalOf(answer.error.reason));
  }

  /**
   * The order in a form that engines understand; `undefined` if it stages
   * changes to a map that is not cached.
   */
  #engineOrder(order: wire.Order): wire.EngineOrder | undefined {
    if (order.kind !== wire.OrderKind.StageChanges) return order;
    const { group, fencing } = order;
    const map = this.#mapCache.applyChanges(order.changes);
    return map && { kind: wire.OrderKind.Stage, group, fencing, map };
  }

  #refuse(refusal: wire.OrderRefusal): wire.OrderAnswer {
    return { done: false, refusal, fencing: this.#promisedFencing };
  }
}

/** The refusal that the reason contains; `EngineFailed` if it has none. */
function refusalOf(reason: string): wire.OrderRefusal {
  const refusals = Object.values(wire.OrderRefusal);
  const known = refusals.find((refusal) => reason.includes(refusal));
  return known ?? wire.OrderRefusal.EngineFailed;
}
