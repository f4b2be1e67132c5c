/** What one entry says of itself and of others by gossip. */
export enum MemberState {
  Alive = 1,
  Draining = 2,
  Suspect = 3,
  Departed = 4,
}

/** An entry as known by its peers. A higher `counter` is newer. */
export interface Member {
  host: string;
  incarnation: string;
  place: string;
  /** Where callers reach it, as a URL. */
  callerUrl: string;
  /** Where peers reach it, as a URL. */
  peerUrl: string;
  state: MemberState;
  counter: number;
  /** Configuration revision in force there. */
  revision: number;
  /** Share of new callers it wants, 0 to 1. */
  weight: number;
}
