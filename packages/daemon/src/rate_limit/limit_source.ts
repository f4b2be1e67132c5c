/** Why a runner takes only so many requests a second. */
export enum LimitSource {
  /** Its answers name a request rate limit. */
  Named = "named",
  /** It is listed as warming up, and its service has a rate for that. */
  WarmUp = "warm-up",
}
