/**
 * Distribution trees without agreement on the list of members. A seed gives each member a position; whoever is asked
 * to cover a range of positions asks a few members in it to cover parts of it. Positions of one region and of one
 * availability zone are contiguous, so that a message crosses between regions about once for each region.
 */

import { hash32 } from '../base/hash.js'
import type { MemberEntry } from '../protocol/messages.js'

/** Positions from `from` up to and without `to`. */
export interface SpreadRange { from: number, to: number }

const zoneSpan = 2 ** 32
const groupBits = 10
const regionSpan = zoneSpan * 2 ** groupBits
export const wholeFleet: SpreadRange = { from: 0, to: regionSpan * 2 ** groupBits }

type Place = Pick<MemberEntry, 'name' | 'region' | 'availabilityZone'>

const hashes = new Map<string, number>()

/** Position of a member under `seed`. */
export function spreadPosition (place: Place, seed: number): number {
  return zoneStart(place, seed) + mix(place.name, seed)
}

/** The positions of the members of one availability zone. A hash collision can add members of another one. */
export function zoneRange (place: Place, seed: number): SpreadRange {
  const from = zoneStart(place, seed)
  return { from, to: from + zoneSpan }
}

/** Splits the members in `range` into at most `fanout` parts, each with the members in order of position. */
export function splitRange (members: readonly MemberEntry[], seed: number, range: SpreadRange, fanout: number): { members: MemberEntry[], positions: number[], range: SpreadRange }[] {
  const placed: { member: MemberEntry, position: number }[] = []
  for (const member of members) {
    const position = spreadPosition(member, seed)
    if (position >= range.from && position < range.to) placed.push({ member, position })
  }
  placed.sort((left, right) => left.position - right.position)
  const parts = []
  const count = Math.min(fanout, placed.length)
  for (let index = 0; index < count; index++) {
    const start = Math.floor(index * placed.length / count)
    const part = placed.slice(start, Math.floor((index + 1) * placed.length / count))
    const from = index === 0 ? range.from : part[0]!.position
    const next = placed[start + part.length]
    parts.push({ members: part.map(item => item.member), positions: part.map(item => item.position), range: { from, to: next?.position ?? range.to } })
  }
  return parts
}

function zoneStart (place: Place, seed: number): number {
  const groupMask = 2 ** groupBits - 1
  return (mix(place.region, seed) & groupMask) * regionSpan + (mix(`${place.region}/${place.availabilityZone}`, seed) & groupMask) * zoneSpan
}

/** Hash of a name under a seed. Names are few, so their own hashes are kept. */
function mix (name: string, seed: number): number {
  let hash = hashes.get(name)
  if (hash === undefined) {
    // Names of replaced nodes would otherwise stay for the life of the process.
    if (hashes.size > 10_000) hashes.clear()
    hash = hash32(name)
    hashes.set(name, hash)
  }
  hash = Math.imul(hash ^ seed, 0x9e3779b1)
  hash ^= hash >>> 15
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}
