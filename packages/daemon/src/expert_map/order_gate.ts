import * as engineModule from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import * as mapCache from "./map_cache.ts";

/** Part of the engine that takes group orders. */
export interface OrderableEngine {
  order: engineModule.HttpEngine["order"];
}

/** What one rank answers while its engine has not been asked. */
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
 * Gate between a group's coordinators and one rank's engine. It enforces
 * fencing for engines that ignore it: after a promise, orders with a lower
 * number never reach the engine. A new incarnation starts without a promise,
 * and orders name the incarnation that promised, so that a coordinator from
 * before a restart is refused even with the highest number.
 */
export class OrderGate {
  readonly #mapCache = new mapCache.MapCache();
  #promisedFencing = 0;
  /** Orders run one at a time, so a promise follows all earlier orders. */
  #previous: Promise<unknown> = Promise.resolve();

  constructor(
    readonly incarnation: string,
    readonly engine: OrderableEngine,
  ) {}

  /** Highest fencing number promised. */
  get promisedFencing(): number {
    return this.#promisedFencing;
  }

  /** Carries out an order or says why not. */
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

  /** The order as engines know it; `undefined` without the base of changes. */
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

/** The engine's own words for a refusal, or that it failed. */
function refusalOf(reason: string): wire.OrderRefusal {
  const refusals = Object.values(wire.OrderRefusal);
  const known = refusals.find((refusal) => reason.includes(refusal));
  return known ?? wire.OrderRefusal.EngineFailed;
}
