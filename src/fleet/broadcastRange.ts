/**
 * Broadcast trees that need no agreement on the list of members. A seed gives each member a position. A node that must
 * cover a range of positions delegates parts of it to a few members in the range. Positions of a region and of an
 * availability zone are contiguous, so that a message is sent to each other region about once.
 */

import { hash32 } from '../base/hash.js'
import type { MemberEntry } from '../protocol/messages.js'

/** Positions from `from` (inclusive) to `to` (exclusive). */
export interface BroadcastRange { from: number, to: number }

const zoneSpan = 2 ** 32
const groupBits = 10
const regionSpan = zoneSpan * 2 ** groupBits
/** Covers all members. */
export const allPositions: BroadcastRange = { from: 0, to: regionSpan * 2 ** groupBits }

type MemberLocation = Pick<MemberEntry, 'name' | 'region' | 'availabilityZone'>

const nameHashes = new Map<string, number>()

/** Position of a member for a seed. */
export function broadcastPosition (location: MemberLocation, seed: number): number {
  return zoneStart(location, seed) + seededHash(location.name, seed)
}

/** The positions of one availability zone. After a hash collision, they include members of another zone. */
export function zoneRange (location: MemberLocation, seed: number): BroadcastRange {
  const from = zoneStart(location, seed)
  return { from, to: from + zoneSpan }
}

/** Splits the members in `range` into at most `fanout` parts, each sorted by position. */
export function splitRange (members: readonly MemberEntry[], seed: number, range: BroadcastRange, fanout: number): { members: MemberEntry[], positions: number[], range: BroadcastRange }[] {
  const positioned: { member: MemberEntry, position: number }[] = []
  for (const member of members) {
    const position = broadcastPosition(member, seed)
    if (position >= range.from && position < range.to) positioned.push({ member, position })
  }
  positioned.sort((left, right) => left.position - right.position)
  const parts = []
  const count = Math.min(fanout, positioned.length)
  for (let index = 0; index < count; index++) {
    const start = Math.floor(index * positioned.length / count)
    const part = positioned.slice(start, Math.floor((index + 1) * positioned.length / count))
    const from = index === 0 ? range.from : part[0]!.position
    const next = positioned[start + part.length]
    parts.push({ members: part.map(item => item.member), positions: part.map(item => item.position), range: { from, to: next?.position ?? range.to } })
  }
  return parts
}

function zoneStart (location: MemberLocation, seed: number): number {
  const groupMask = 2 ** groupBits - 1
  return (seededHash(location.region, seed) & groupMask) * regionSpan + (seededHash(`${location.region}/${location.availabilityZone}`, seed) & groupMask) * zoneSpan
}

/** Hash of a name for a seed. Hashes of the few distinct names are cached. */
function seededHash (name: string, seed: number): number {
  let hash = nameHashes.get(name)
  if (hash === undefined) {
    // Otherwise names of replaced nodes would accumulate for the lifetime of the process.
    if (nameHashes.size > 10_000) nameHashes.clear()
    hash = hash32(name)
    nameHashes.set(name, hash)
  }
  hash = Math.imul(hash ^ seed, 0x9e3779b1)
  hash ^= hash >>> 15
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}
