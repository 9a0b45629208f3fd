/** Fencing tokens: `counter * 2^32 + writer`, compared as numbers. The counter has 21 bits. */

import { hash32 } from '../base/hash.js'

const counterUnit = 2 ** 32

/**
 * Writer ID, the lower 32 bits of a token. `nonce` must differ between processes at the same address: otherwise commands
 * of the process before a restart would be valid under the token of the new process.
 */
export function fenceWriter (nodeAddress: string, nonce: number): number {
  return hash32(`${nodeAddress}#${nonce}`)
}

export function fenceCounter (fence: number): number {
  return Math.floor(fence / counterUnit)
}

/** Returns a token above `highestSeen`. Throws `RangeError` if the counter overflows. */
export function nextFence (highestSeen: number, writer: number): number {
  const fence = (fenceCounter(highestSeen) + 1) * counterUnit + writer
  if (!Number.isSafeInteger(fence)) throw new RangeError(`fencing token after ${highestSeen} exceeds the safe integer range`)
  return fence
}
