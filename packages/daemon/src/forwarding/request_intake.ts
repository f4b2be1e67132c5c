import * as common from "@geraniumkeel/common";
import * as bodyResources from "../caller_connections/body_resources.ts";
import type * as callerExchange from "../caller_connections/caller_exchange.ts";
import * as readBody from "../caller_connections/read_body.ts";
import * as bodyRefusal from "./body_refusal.ts";
import type * as callerRequest from "./caller_request.ts";
import type * as forwarderModule from "./forwarder.ts";

/** How often it is reported what is held. */
const GAUGE_MILLISECONDS = 1_000;

/** What taking requests in needs. */
export interface RequestIntakeParameters {
  forwarder: forwarderModule.Forwarder;
  /** Longest body of a request. */
  maxBodyBytes: () => number;
  /** Memory for the bodies of all requests. */
  bodyBytes: number;
  lifeCycle: common.LifeCycle;
  metrics: common.Metrics;
  random: common.Random;
}

type BodyResult = Awaited<ReturnType<typeof readBody.readBody>>;

/**
 * Takes callers' requests in: what needs no body is decided by the head, then the
 * body is read, within the time and the memory that there is, and passed on.
 */
export class RequestIntake {
  readonly #resources: bodyResources.BodyResources;

  constructor(readonly parameters: RequestIntakeParameters) {
    this.#resources = new bodyResources.BodyResources(parameters.bodyBytes);
    parameters.lifeCycle.every(GAUGE_MILLISECONDS, () => this.#reportGauges());
  }

  #reportGauges(): void {
    const { forwarder, metrics } = this.parameters;
    const bodies = this.#resources.memory.bytes;
    const held = { bodies, ...forwarder.heldBytes };
    for (const [kind, bytes] of Object.entries(held))
      metrics.gauge(common.Metric.CallerHeldBytes, bytes, { kind });
  }

  /**
   * Begins to read one request; the returned function handles it until it has its
   * final answer.
   */
  begin(
    exchange: callerExchange.CallerExchange,
    head: callerRequest.RequestHead,
    sink: callerRequest.AnswerSink,
  ): () => Promise<void> {
    const { forwarder } = this.parameters;
    exchange.identifier = head.identifier;
    const decision = forwarder.admit(head);
    if (decision.kind === "refused") {
      exchange.dropBody();
      exchange.closeUnlessShort();
      return () => forwarder.refuse(head, decision.refusal, sink);
    }
    const read = () => this.#readBody(exchange, decision.millisecondsLeft);
    // The body comes only once its caller is told, in turn with the answers.
    const reading = exchange.expectsContinue ? undefined : read();
    return async () =>
      this.#handle(exchange, head, sink, await (reading ?? read()));
  }

  async #handle(
    exchange: callerExchange.CallerExchange,
    head: callerRequest.RequestHead,
    sink: callerRequest.AnswerSink,
    body: BodyResult,
  ): Promise<void> {
    const { forwarder, random } = this.parameters;
    if (body.isOk())
      return forwarder.forward({ ...head, body: body.value.content }, sink);
    const refusal = bodyRefusal.bodyRefusal(body.error, random);
    if (!refusal) return;
    exchange.closeUnlessRead();
    return forwarder.refuse(head, refusal, sink);
  }

  async #readBody(
    exchange: callerExchange.CallerExchange,
    timeoutMilliseconds: number,
  ): Promise<BodyResult> {
    exchange.allowBody();
    const body = await readBody.readBody(exchange.incoming, {
      limit: this.parameters.maxBodyBytes(),
      timeoutMilliseconds,
      resources: this.#resources,
    });
    if (body.isOk()) exchange.releaseAtEnd(body.value.release);
    return body;
  }
}
