import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as ws from "ws";
import * as codec from "./codec.ts";
import type * as message from "./message.ts";
import * as messageKind from "./message_kind.ts";
import * as sharedTimer from "./shared_timer.ts";

/** Why a link ended. */
export enum LinkEnd {
  Closed = "closed",
  Silent = "silent",
  Unreadable = "unreadable",
  Replaced = "replaced",
  TooSlow = "too-slow",
}

/** Which end of a link this process is. */
export enum LinkSide {
  Dialled = "dialled",
  Accepted = "accepted",
}

/** Why a link could not be opened. */
export interface LinkFailure {
  kind: "link-failure";
  reason: string;
  refused: boolean;
}

/** Timing of a link, in milliseconds. */
export interface LinkTiming {
  heartbeat: number;
  silentAfter: number;
  connectTimeout: number;
  /**
   * Whether heartbeats are left out while other messages are sent. For links on
   * which the contents of heartbeats are not used.
   */
  heartbeatsOnlyInSilence?: boolean;
}

/** What a heartbeat of this process tells. */
export type HeartbeatSource = () => { clock: number; revision: number };

/** Bytes queued on a link before it is taken for stuck. */
const LARGEST_BACKLOG = 64 * 1024 * 1024;
/** Ticks between heartbeats while other messages are sent or nothing waits. */
const IDLE_TICKS = 4;
/** Ticks without a heartbeat to answer after which the far side speaks up. */
const UNASKED_TICKS = 2 * IDLE_TICKS;
/** How much longer an idle link may be silent. */
const IDLE_FACTOR = 4;
/** Largest frame accepted, in bytes. */
export const LARGEST_FRAME = 32 * 1024 * 1024;

/** Byte and message counts of one link since it opened. */
export interface LinkCounts {
  sentMessages: number;
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
}

/**
 * One open connection to another process of the system, with heartbeats both
 * ways. It ends once and is never reused.
 */
export class Link {
  readonly counts: LinkCounts = {
    sentMessages: 0,
    sentBytes: 0,
    receivedMessages: 0,
    receivedBytes: 0,
  };
  /** When anything but a heartbeat was last sent or received. */
  lastUsedAt = common.now();
  readonly #inbox = new common.Channel<message.Message>();
  /** Receives messages in place of the inbox. */
  #handler: ((message: message.Message) => void) | undefined;
  /** Resolves `handleMessages`. */
  #onHandled: (() => void) | undefined;
  /** Rejects `handleMessages`. */
  #onHandlerFailed: ((cause: unknown) => void) | undefined;
  readonly #stopTicking: () => void;
  #quietTicks = 0;
  #sentAtLastTick = 0;
  #ticksSinceBeat = 0;
  #wasBusy = true;
  #end: LinkEnd | undefined;

  constructor(
    readonly socket: ws.WebSocket,
    readonly timing: LinkTiming,
    readonly heartbeat: HeartbeatSource,
    readonly side: LinkSide,
  ) {
    socket.on("message", (data: Buffer) => this.#receiveFrame(data));
    socket.on("close", () => this.#finish(LinkEnd.Closed));
    socket.on("error", () => this.#finish(LinkEnd.Closed));
    this.#stopTicking = sharedTimer
      .sharedTimer(timing.heartbeat)
      .listen((tickNumber) => this.#tick(tickNumber));
  }

  /** Why the link ended, or `undefined` while it is open. */
  get end(): LinkEnd | undefined {
    return this.#end;
  }

  /** Sends a message; dropped when the link has ended. */
  send(value: message.Message): void {
    if (this.#end !== undefined) return;
    if (this.socket.readyState !== ws.WebSocket.OPEN) return;
    const frame = codec.encode(value);
    if (value.kind !== messageKind.MessageKind.Heartbeat) {
      this.lastUsedAt = common.now();
    }
    this.counts.sentMessages++;
    this.counts.sentBytes += frame.byteLength;
    this.socket.send(frame);
    if (this.socket.bufferedAmount > LARGEST_BACKLOG) {
      this.#finish(LinkEnd.TooSlow);
    }
  }

  /** Next message, or `undefined` once the link has ended. */
  receive(): Promise<message.Message | undefined> {
    return this.#inbox.receive();
  }

  /** All messages until the link ends. */
  messages(): AsyncGenerator<message.Message, void, void> {
    return this.#inbox[Symbol.asyncIterator]();
  }

  /**
   * Passes all messages until the link ends to a handler, as soon as they are
   * received. This takes less processor time than `messages`, which resumes a
   * task for each message; a link must use one or the other. If the handler
   * throws, the link ends and the exception goes to the caller's task, as with
   * `messages`, and not to the socket.
   */
  async handleMessages(
    handler: (message: message.Message) => void,
  ): Promise<void> {
    for (const waiting of this.#inbox.takeAll()) handler(waiting);
    if (this.#end !== undefined) return;
    this.#handler = handler;
    await new Promise<void>((resolve, reject) => {
      this.#onHandled = resolve;
      this.#onHandlerFailed = reject;
    });
  }

  /** Ends the link when the signal aborts, so that its task can return. */
  closeOn(signal: AbortSignal): void {
    const close = () => this.close();
    if (signal.aborted) return close();
    signal.addEventListener("abort", close, { once: true });
    this.socket.once("close", () => signal.removeEventListener("abort", close));
  }

  /** Ends the link from this side. */
  close(end: LinkEnd = LinkEnd.Closed): void {
    this.#finish(end);
  }

  #receiveFrame(data: Buffer): void {
    this.#quietTicks = 0;
    this.counts.receivedMessages++;
    this.counts.receivedBytes += data.byteLength;
    if (this.#end !== undefined) return;
    const decoded = codec.decode(data);
    if (decoded.isErr()) return this.#finish(LinkEnd.Unreadable);
    if (decoded.value.kind === messageKind.MessageKind.Heartbeat) {
      if (this.#answersHeartbeats) this.#beat();
      this.onHeartbeat?.(decoded.value);
      return;
    }
    this.lastUsedAt = common.now();
    if (this.#handler) this.#handle(this.#handler, decoded.value);
    else this.#inbox.push(decoded.value);
  }

  #handle(
    handler: (message: message.Message) => void,
    value: message.Message,
  ): void {
    try {
      handler(value);
    } catch (cause) {
      this.#onHandlerFailed?.(cause);
      this.#finish(LinkEnd.Closed);
    }
  }

  get #answersHeartbeats(): boolean {
    if (this.timing.heartbeatsOnlyInSilence) return false;
    return this.side === LinkSide.Accepted;
  }

  /** Called for each heartbeat of the far end, outside the inbox. */
  onHeartbeat:
    ((beat: { clock: number; revision: number }) => void) | undefined;

  /**
   * Whether anything waits for this link now. One that carries nothing is looked
   * after less often: an entry has over a hundred, and nobody would notice.
   */
  isBusy: () => boolean = () => true;

  /**
   * A connection can go silent for good without an error: something between
   * the ends forgot it, and the sender sees only growing buffers. Counting our
   * own ticks without input, and not wall time, keeps a process that was itself
   * paused from taking its first look at the clock for silence of the peer.
   */
  #tick(tickNumber: number): void {
    const busy = this.isBusy();
    // What the far end did not say while idle is no silence yet.
    if (busy && !this.#wasBusy) this.#quietTicks = 0;
    this.#wasBusy = busy;
    this.#quietTicks++;
    const quiet = this.#quietTicks * this.timing.heartbeat;
    const patience = busy ? 1 : IDLE_FACTOR;
    if (quiet > this.timing.silentAfter * patience) {
      return this.#finish(LinkEnd.Silent);
    }
    if (this.#mustSpeak(busy, tickNumber)) this.#beat();
    this.#sentAtLastTick = this.counts.sentMessages;
  }

  #beat(): void {
    this.#ticksSinceBeat = 0;
    const { clock, revision } = this.heartbeat();
    this.send({ kind: messageKind.MessageKind.Heartbeat, clock, revision });
  }

  /**
   * Whatever was sent since the last tick has told the far end enough. Of an
   * idle link the end that dialled speaks, in the same tick on all its links,
   * and the other end answers at once: the answers of a hundred links then come
   * in a few wake-ups of the process instead of one each.
   */
  #mustSpeak(busy: boolean, tickNumber: number): boolean {
    this.#ticksSinceBeat++;
    const spoke = this.counts.sentMessages !== this.#sentAtLastTick;
    if (busy && !spoke) return true;
    if (spoke && this.timing.heartbeatsOnlyInSilence) return false;
    switch (this.side) {
      case LinkSide.Dialled:
        return tickNumber % IDLE_TICKS === 0;
      case LinkSide.Accepted:
        return this.#ticksSinceBeat > UNASKED_TICKS;
    }
  }

  #finish(end: LinkEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#stopTicking();
    this.#inbox.close();
    this.#onHandled?.();
    if (end === LinkEnd.Closed) this.socket.close();
    else this.socket.terminate();
    // A close handshake with a silent peer would keep the socket for 30 s.
    setTimeout(() => this.socket.terminate(), this.timing.silentAfter).unref();
  }
}

/** Opens a link to another process of the system. */
export async function dial(parameters: {
  url: string;
  key: string;
  timing: LinkTiming;
  heartbeat: HeartbeatSource;
  certificateAuthority?: string;
}): Promise<neverthrow.Result<Link, LinkFailure>> {
  const { url, key, timing } = parameters;
  let socket: ws.WebSocket;
  try {
    socket = new ws.WebSocket(url, {
      headers: { authorization: `Bearer ${key}` },
      handshakeTimeout: timing.connectTimeout,
      perMessageDeflate: false,
      maxPayload: LARGEST_FRAME,
      ca: parameters.certificateAuthority,
    });
  } catch (cause) {
    // An address that makes no URL.
    const reason = (cause as Error).message;
    return neverthrow.err({ kind: "link-failure", reason, refused: false });
  }
  return new Promise((resolve) => {
    const fail = (reason: string, refused: boolean) => {
      socket.terminate();
      resolve(neverthrow.err({ kind: "link-failure", reason, refused }));
    };
    socket.once("unexpected-response", (_request, response) =>
      fail(`status ${response.statusCode}`, response.statusCode === 401),
    );
    socket.on("error", (cause) => fail(cause.message, false));
    socket.once("open", () => {
      const { heartbeat } = parameters;
      const side = LinkSide.Dialled;
      resolve(neverthrow.ok(new Link(socket, timing, heartbeat, side)));
    });
  });
}
