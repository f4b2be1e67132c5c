import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import type * as meshPeer from "./mesh_peer.ts";
import type * as heartbeatClockModule from "./heartbeat_clock.ts";

/** Time after which a push that had no effect is repeated. */
const PUSH_RETRY_MILLISECONDS = 400;

/**
 * Time for which an entry leaves a document that it has from a peer to that peer to
 * send. It sends it to all others at the same moment; passed on at once, each of 45
 * entries sends it to 44, most of which have it or are about to. One that the first
 * sender does not reach has it this much and one beat later, 0.8 s, where two to three
 * seconds are promised.
 */
const RELAY_DELAY_MILLISECONDS = 500;

/** Documents that entries exchange, by the names that logs give them. */
enum DocumentName {
  Configuration = "configuration",
  Runners = "runners",
}

/** A document as it is sent. */
interface CachedDocument {
  document: traffic.Versioned;
  bytes: wire.PackedDocument;
}

/** What exchanging documents with other entries needs. */
export interface DocumentExchangeParameters {
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  runners: traffic.ProvenValue<traffic.RunnerList>;
  heartbeatClock: heartbeatClockModule.HeartbeatClock;
  logger: common.Logger;
}

/**
 * Passes configuration and list of runners between entries, newer ones only, and
 * with each beat the proof of how fresh they are: an entry that does not reach the
 * store knows what the others know.
 */
export class DocumentExchange {
  /** Versions that a peer sent, and when they may be sent on. */
  readonly #relays = new Map<DocumentName, { version: number; at: number }>();
  readonly #packed = new Map<DocumentName, CachedDocument>();

  constructor(readonly parameters: DocumentExchangeParameters) {}

  /** Version and age of the proof of each document, for the next beat. */
  proofs(): Pick<wire.MeshHeartbeat, "configuration" | "runners"> {
    const { configuration, runners } = this.parameters;
    return {
      configuration: proofOf(configuration),
      runners: proofOf(runners),
    };
  }

  /** Takes the proofs of a peer's beat. */
  receiveProofs(heartbeat: wire.MeshHeartbeat): void {
    const { configuration, runners } = this.parameters;
    this.#receiveProof(configuration, heartbeat, heartbeat.configuration);
    this.#receiveProof(runners, heartbeat, heartbeat.runners);
  }

  /** Takes a document from a peer if it is newer than the one held. */
  receive(
    message: wire.MeshConfiguration | wire.MeshRunners,
    peer: meshPeer.MeshPeer,
  ): void {
    const { configuration, runners } = this.parameters;
    switch (message.kind) {
      case wire.MessageKind.MeshConfiguration:
        return this.#receiveDocument(
          DocumentName.Configuration,
          configuration,
          message,
          peer,
        );
      case wire.MessageKind.MeshRunners:
        return this.#receiveDocument(
          DocumentName.Runners,
          runners,
          message,
          peer,
        );
    }
  }

  #receiveDocument<T extends traffic.Versioned>(
    name: DocumentName,
    local: traffic.ProvenValue<T>,
    message: { version: number; packed: wire.PackedDocument },
    peer: meshPeer.MeshPeer,
  ): void {
    if (message.version <= local.version) return;
    const unpacked = wire.unpackDocument<T>(message.packed);
    if (unpacked.isErr()) return peer.link.close(wire.LinkEnd.Unreadable);
    const { version } = message;
    this.#relays.set(name, {
      version,
      at: common.now() + RELAY_DELAY_MILLISECONDS,
    });
    if (!local.offer(unpacked.value)) return;
    const code = common.EventCode.DocumentInForce;
    const from = peer.member.host;
    this.parameters.logger.event(code, { document: name, version, from });
  }

  /** Sends a peer what it is seen to lack. */
  pushNewer(peer: meshPeer.MeshPeer): void {
    const { configuration, runners } = this.parameters;
    const heartbeat = peer.heartbeat;
    if (!heartbeat) return;
    this.#push(peer, {
      name: DocumentName.Configuration,
      kind: wire.MessageKind.MeshConfiguration,
      local: configuration,
      peerVersion: heartbeat.configuration.version,
    });
    this.#push(peer, {
      name: DocumentName.Runners,
      kind: wire.MessageKind.MeshRunners,
      local: runners,
      peerVersion: heartbeat.runners.version,
    });
  }

  #push<T extends traffic.Versioned>(
    peer: meshPeer.MeshPeer,
    document: {
      name: DocumentName;
      kind: wire.MeshConfiguration["kind"] | wire.MeshRunners["kind"];
      local: traffic.ProvenValue<T>;
      peerVersion: number;
    },
  ): void {
    const { name, kind, local: local, peerVersion: peerVersion } = document;
    const { value, version } = local;
    if (!value || peerVersion >= version) return;
    const relay = this.#relays.get(name);
    if (relay?.version === version && common.now() < relay.at) return;
    if (!peer.allowPush(name, PUSH_RETRY_MILLISECONDS)) return;
    const packed = this.#packedOf(name, value);
    peer.link.send({ kind, version, packed });
  }

  /** A document as it is sent, packed once a version. */
  #packedOf(
    name: DocumentName,
    document: traffic.Versioned,
  ): wire.PackedDocument {
    const cached = this.#packed.get(name);
    if (cached?.document === document) return cached.bytes;
    const bytes = wire.packDocument(document);
    this.#packed.set(name, { document, bytes });
    return bytes;
  }

  #receiveProof<T extends traffic.Versioned>(
    local: traffic.ProvenValue<T>,
    heartbeat: wire.MeshHeartbeat,
    proof: wire.MeshProof,
  ): void {
    const { echoedStamp, echoedAge } = heartbeat;
    const at = this.parameters.heartbeatClock.provenAt({
      echoedStamp,
      echoedAge,
      factAge: proof.age,
    });
    if (at) local.prove(proof.version, at);
  }
}

function proofOf<T extends traffic.Versioned>(
  local: traffic.ProvenValue<T>,
): wire.MeshProof {
  const { version, age } = local;
  return { version, age: Number.isFinite(age) ? age : -1 };
}
