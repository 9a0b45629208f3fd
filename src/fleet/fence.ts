/** Fencing tokens: `counter * 2^32 + writer`, compared as numbers. The counter has 21 bits. */

import { hash32 } from '../base/hash.js'

const counterUnit = 2 ** 32

/**
 * The part of a token that tells writers apart. `nonce` differs between processes at the same address: after a
 * restart, commands of the earlier process would otherwise be valid under the token of the new one.
 */
export function fenceWriter (nodeAddress: string, nonce: number): number {
  return hash32(`${nodeAddress}#${nonce}`)
}

/** The counter of a token. */
export function fenceCounter (fence: number): number {
  return Math.floor(fence / counterUnit)
}

/** A token above `highestSeen`. Throws `RangeError` when the counter is used up. */
export function nextFence (highestSeen: number, writer: number): number {
  const fence = (fenceCounter(highestSeen) + 1) * counterUnit + writer
  if (!Number.isSafeInteger(fence)) throw new RangeError(`fencing token after ${highestSeen} exceeds the safe integers`)
  return fence
}
