import * as engineModule from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import * as mapCache from "./map_cache.ts";

/**
 * An engine that accepts a coordinator's orders: the part of the engine client
 * that `OrderGate` needs.
 */
export interface OrderableEngine {
  order: engineModule.HttpEngine["order"];
}

/**
 * Runs in the upstream process beside one rank's engine. It passes orders of
 * the group's coordinators to the engine and enforces fencing, also for engines
 * that ignore it. A coordinator first orders the rank to promise the
 * coordinator's fencing number. From then on the gate refuses every order with
 * a lower number, and the order does not reach the engine.
 *
 * A restarted upstream process has a new incarnation, without a promise. Each
 * order is therefore addressed to an incarnation: for an order to promise, the
 * one that the coordinator sees linked; for any other order, the one that
 * promised. The new incarnation refuses orders of a coordinator that got its
 * promise before the restart, even if that coordinator has the highest fencing
 * number.
 */
export class OrderGate {
  readonly #mapCache = new mapCache.MapCache();
  #promisedFencing = 0;
  /**
   * Resolves once all orders received so far have been executed or refused.
   * Orders run one at a time, so a new fencing number is promised only after
   * all orders received earlier.
   */
  #earlierOrders: Promise<unknown> = Promise.resolve();

  constructor(
    /** Incarnation of the upstream process. */
    readonly incarnation: string,
    readonly engine: OrderableEngine,
  ) {}

  /** Fencing number that this incarnation has promised; 0 if none. */
  get promisedFencing(): number {
    return this.#promisedFencing;
  }

  /**
   * Carries out an order after all earlier ones, and returns the engine's state
   * or the reason for a refusal. `agentIncarnation` is the incarnation of the
   * upstream process that the order is addressed to.
   */
  handle(parameters: {
    agentIncarnation: string;
    order: wire.Order;
  }): Promise<wire.OrderAnswer> {
    const answer = this.#earlierOrders.then(() => this.#execute(parameters));
    this.#earlierOrders = answer;
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
      return { done: true, state: answer.value };
    }
    return this.#refuse(refusalOf(answer.error.reason));
  }

  /**
   * The order in a form that engines understand: changes to a map become the
   * complete new map. Returns `undefined` if the cache cannot apply them.
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

/**
 * Finds the refusal that an engine named in its error text, which is `reason`.
 * Returns `EngineFailed` if the text names none, as with an engine that did not
 * answer.
 */
function refusalOf(reason: string): wire.OrderRefusal {
  const refusals = Object.values(wire.OrderRefusal);
  const known = refusals.find((refusal) => reason.includes(refusal));
  return known ?? wire.OrderRefusal.EngineFailed;
}
