/** Non-cryptographic hashing for placement decisions. */

/** FNV-1a with a final avalanche, as an unsigned 32-bit integer. */
export function hash32 (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, 0x01000193)
  }
  // FNV-1a alone spreads names that differ in the last character poorly over the high bits.
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  hash ^= hash >>> 16
  return hash >>> 0
}

/** Candidates by descending rendezvous weight for `key`: the first is the owner, the next its successor. */
export function rendezvousOrder (key: string, candidates: readonly string[]): string[] {
  return candidates
    .map(candidate => ({ candidate, weight: hash32(`${key}\u0000${candidate}`) }))
    .sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1))
    .map(({ candidate }) => candidate)
}

/** The candidate that owns `key`, or `undefined` if there is none. */
export function rendezvousOwner (key: string, candidates: readonly string[]): string | undefined {
  let owner: string | undefined
  let ownerWeight = -1
  for (const candidate of candidates) {
    const weight = hash32(`${key}\u0000${candidate}`)
    if (weight > ownerWeight || (weight === ownerWeight && candidate < owner!)) {
      owner = candidate
      ownerWeight = weight
    }
  }
  return owner
}
