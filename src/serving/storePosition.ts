/**
 * Points in the history of the platform's store. The store may come back from a copy; its revisions then go back and are given out again,
 * in a new era. Everything that this system keeps of the store is a position, which grows with the era and the revision, so that any two
 * can be compared: views, watches, the leader's feed, and fencing tokens.
 */

/** Positions are exact numbers up to era 32,767. */
const revisionsPerEra = 2 ** 38
const mostEras = 2 ** 53 / revisionsPerEra

/** Position of a revision in an era. Throws `RangeError` if it is no exact number. */
export function positionOf (era: number, revision: number): number {
  if (revision >= revisionsPerEra || era >= mostEras) throw new RangeError(`revision ${revision} of era ${era} of the store is too large`)
  return era * revisionsPerEra + revision
}

export function eraOf (position: number): number {
  return Math.floor(position / revisionsPerEra)
}

export function revisionOf (position: number): number {
  return position % revisionsPerEra
}
