import type * as common from "@geraniumkeel/common";
import * as bodyResources from "../caller_connections/body_resources.ts";
import type * as callerExchange from "../caller_connections/caller_exchange.ts";
import * as readBody from "../caller_connections/read_body.ts";
import * as bodyRefusal from "./body_refusal.ts";
import type * as callerRequest from "./caller_request.ts";
import type * as forwarderModule from "./forwarder.ts";

/** What taking requests in needs. */
export interface RequestIntakeParameters {
  forwarder: forwarderModule.Forwarder;
  /** Longest body of a request. */
  maxBodyBytes: () => number;
  /** Memory for the bodies of all requests. */
  bodyBytes: number;
  random: common.Random;
}

/**
 * Takes callers' requests in: what needs no body is decided by the head, then the
 * body is read, within the time and the memory that there is, and passed on.
 */
export class RequestIntake {
  readonly #resources: bodyResources.BodyResources;

  constructor(readonly parameters: RequestIntakeParameters) {
    this.#resources = new bodyResources.BodyResources(parameters.bodyBytes);
  }

  /** Handles one request until it has its final answer. */
  async handle(
    exchange: callerExchange.CallerExchange,
    head: callerRequest.RequestHead,
    sink: callerRequest.AnswerSink,
  ): Promise<void> {
    const { forwarder, random } = this.parameters;
    exchange.identifier = head.identifier;
    const decision = forwarder.admit(head);
    if (decision.kind === "refused") {
      exchange.closeUnlessShort();
      return forwarder.refuse(head, decision.refusal, sink);
    }
    const body = await this.#readBody(exchange, decision.millisecondsLeft);
    if (body.isOk()) {
      const { content, release } = body.value;
      const request = { ...head, body: content };
      return forwarder.forward(request, sink).finally(release);
    }
    const refusal = bodyRefusal.bodyRefusal(body.error, random);
    if (!refusal) return;
    exchange.closeUnlessRead();
    return forwarder.refuse(head, refusal, sink);
  }

  #readBody(
    exchange: callerExchange.CallerExchange,
    timeoutMilliseconds: number,
  ): ReturnType<typeof readBody.readBody> {
    exchange.allowBody();
    return readBody.readBody(exchange.incoming, {
      limit: this.parameters.maxBodyBytes(),
      timeoutMilliseconds,
      resources: this.#resources,
    });
  }
}
