import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import type * as meshPeer from "./mesh_peer.ts";
import type * as heartbeatClockModule from "./heartbeat_clock.ts";

/**
 * Time after which an entry pushes a document again to a peer that still
 * reports an older version.
 */
const PUSH_RETRY_MILLISECONDS = 400;

/**
 * Time that an entry waits before it forwards a document that it received from
 * a peer. That peer sends the document to all entries at the same moment. If
 * all of 45 entries forwarded it at once, each would send 44 copies, most of
 * them to entries that have the document or are about to get it. An entry that
 * the first sender does not reach gets the document after this delay and one
 * heartbeat: 0.8 s, where two to three seconds are promised.
 */
const RELAY_DELAY_MILLISECONDS = 500;

/** Documents that entries exchange, by their names in the logs. */
enum DocumentName {
  Configuration = "configuration",
  Runners = "runners",
  Evacuations = "evacuations",
}

/** A document with the bytes that are sent for it. */
interface CachedDocument {
  document: traffic.Versioned;
  bytes: wire.PackedDocument;
}

/** What a `DocumentExchange` is created with. */
export interface DocumentExchangeParameters {
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  runners: traffic.ProvenValue<traffic.RunnerList>;
  evacuations: traffic.ProvenValue<traffic.EvacuationList>;
  heartbeatClock: heartbeatClockModule.HeartbeatClock;
  logger: common.Logger;
}

/**
 * Exchanges the configuration, the list of runners and the list of evacuated
 * data centres with the other entries, so that an entry that cannot reach the
 * store still has the newest versions.
 * An entry sends a document only to peers that have an older version. Each
 * heartbeat carries the proof of each document: the last moment at which the
 * sender's version was certain to be the newest.
 */
export class DocumentExchange {
  /** Versions received from a peer, and when this entry may forward them. */
  readonly #relays = new Map<DocumentName, { version: number; at: number }>();
  /** The last packed version of each document. */
  readonly #packed = new Map<DocumentName, CachedDocument>();

  constructor(readonly parameters: DocumentExchangeParameters) {}

  /** Version and age of the proof of each document, for the next heartbeat. */
  proofs(): Pick<
    wire.MeshHeartbeat,
    "configuration" | "runners" | "evacuations"
  > {
    const { configuration, runners, evacuations } = this.parameters;
    return {
      configuration: proofOf(configuration),
      runners: proofOf(runners),
      evacuations: proofOf(evacuations),
    };
  }

  /** Applies the proofs in a peer's heartbeat to the local documents. */
  receiveProofs(heartbeat: wire.MeshHeartbeat): void {
    const { configuration, runners, evacuations } = this.parameters;
    this.#receiveProof(configuration, heartbeat, heartbeat.configuration);
    this.#receiveProof(runners, heartbeat, heartbeat.runners);
    this.#receiveProof(evacuations, heartbeat, heartbeat.evacuations);
  }

  /**
   * Puts a peer's document in force if it is newer than the local one. Closes
   * the link if the document is unreadable.
   */
  receive(
    message: wire.MeshConfiguration | wire.MeshRunners | wire.MeshEvacuations,
    peer: meshPeer.MeshPeer,
  ): void {
    const { configuration, runners, evacuations } = this.parameters;
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
      case wire.MessageKind.MeshEvacuations:
        return this.#receiveDocument(
          DocumentName.Evacuations,
          evacuations,
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

  /**
   * Sends a peer the documents of which its last heartbeat names an older
   * version.
   */
  pushNewer(peer: meshPeer.MeshPeer): void {
    const { configuration, runners, evacuations } = this.parameters;
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
    this.#push(peer, {
      name: DocumentName.Evacuations,
      kind: wire.MessageKind.MeshEvacuations,
      local: evacuations,
      peerVersion: heartbeat.evacuations.version,
    });
  }

  #push<T extends traffic.Versioned>(
    peer: meshPeer.MeshPeer,
    document: {
      name: DocumentName;
      kind:
        | wire.MeshConfiguration["kind"]
        | wire.MeshRunners["kind"]
        | wire.MeshEvacuations["kind"];
      local: traffic.ProvenValue<T>;
      peerVersion: number;
    },
  ): void {
    const { name, kind, local, peerVersion } = document;
    const { value, version } = local;
    if (!value || peerVersion >= version) return;
    const relay = this.#relays.get(name);
    if (relay?.version === version && common.now() < relay.at) return;
    if (!peer.allowPush(name, PUSH_RETRY_MILLISECONDS)) return;
    const packed = this.#packedOf(name, value);
    peer.link.send({ kind, version, packed });
  }

  /** The bytes of a document; each version is packed only once. */
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
