import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import type * as meshPeer from "./mesh_peer.ts";
import type * as stampClock from "./stamp_clock.ts";

/** Time after which a push that had no effect is repeated. */
const PUSH_AGAIN_MILLISECONDS = 400;

/** What exchanging documents with other entries needs. */
export interface DocumentExchangeParameters {
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  runners: traffic.ProvenValue<traffic.RunnerList>;
  stamps: stampClock.StampClock;
  logger: common.Logger;
}

/**
 * Passes configuration and list of runners between entries, newer ones only, and
 * with each beat the proof of how fresh they are: an entry that does not reach the
 * store knows what the others know.
 */
export class DocumentExchange {
  constructor(readonly parameters: DocumentExchangeParameters) {}

  /** Version and age of the proof of each document, for the next beat. */
  proofs(): Pick<wire.MeshBeat, "configuration" | "runners"> {
    const { configuration, runners } = this.parameters;
    return {
      configuration: proofOf(configuration),
      runners: proofOf(runners),
    };
  }

  /** Takes the proofs of a peer's beat. */
  takeProofs(beat: wire.MeshBeat): void {
    const { configuration, runners } = this.parameters;
    this.#takeProof(configuration, beat, beat.configuration);
    this.#takeProof(runners, beat, beat.runners);
  }

  /** Takes a document from a peer if it is newer than the one held. */
  take(
    message: wire.MeshConfiguration | wire.MeshRunners,
    peer: meshPeer.MeshPeer,
  ): void {
    const { configuration, runners } = this.parameters;
    switch (message.kind) {
      case wire.MessageKind.MeshConfiguration:
        if (configuration.offer(message.configuration)) {
          this.#logInForce("configuration", configuration.version, peer);
        }
        return;
      case wire.MessageKind.MeshRunners:
        if (runners.offer(message.list)) {
          this.#logInForce("runners", runners.version, peer);
        }
    }
  }

  /** Sends a peer what it is seen to lack. */
  pushNewer(peer: meshPeer.MeshPeer): void {
    const { configuration, runners } = this.parameters;
    const told = peer.beat;
    if (!told) return;
    if (
      configuration.value &&
      told.configuration.version < configuration.version &&
      peer.mayPush("configuration", PUSH_AGAIN_MILLISECONDS)
    ) {
      const kind = wire.MessageKind.MeshConfiguration;
      peer.link.send({ kind, configuration: configuration.value });
    }
    if (
      runners.value &&
      told.runners.version < runners.version &&
      peer.mayPush("runners", PUSH_AGAIN_MILLISECONDS)
    ) {
      const kind = wire.MessageKind.MeshRunners;
      peer.link.send({ kind, list: runners.value });
    }
  }

  #takeProof<T extends traffic.Versioned>(
    held: traffic.ProvenValue<T>,
    beat: wire.MeshBeat,
    proof: wire.MeshProof,
  ): void {
    const { echoedStamp, echoedAge } = beat;
    const at = this.parameters.stamps.provenAt({
      echoedStamp,
      echoedAge,
      factAge: proof.age,
    });
    if (at) held.prove(proof.version, at);
  }

  #logInForce(
    document: string,
    version: number,
    peer: meshPeer.MeshPeer,
  ): void {
    const code = common.EventCode.DocumentInForce;
    const from = peer.member.host;
    this.parameters.logger.event(code, { document, version, from });
  }
}

function proofOf<T extends traffic.Versioned>(
  held: traffic.ProvenValue<T>,
): wire.MeshProof {
  const { version, age } = held;
  return { version, age: Number.isFinite(age) ? age : -1 };
}
