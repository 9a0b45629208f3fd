/** Seeded random numbers, passed as an argument to everything that chooses at random. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of random numbers. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
}

/** The same seed gives the same sequence. */
export class SeededRandom implements Random {
  private readonly generator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  next (): number {
    return (this.generator.next() >>> 0) / 2 ** 32
  }
}

/** Uniform integer in [0, `bound`). */
export function randomInt (random: Random, bound: number): number {
  return Math.floor(random.next() * bound)
}

/** One element, or `undefined` for an empty list. */
export function randomChoice<T> (random: Random, items: readonly T[]): T | undefined {
  return items[randomInt(random, items.length)]
}

/** A new list with the items in random order. */
export function shuffled<T> (random: Random, items: readonly T[]): T[] {
  const result = [...items]
  for (let index = result.length - 1; index > 0; index--) {
    const other = randomInt(random, index + 1)
    const item = result[index]!
    result[index] = result[other]!
    result[other] = item
  }
  return result
}

/** Exponentially distributed with the given mean. */
export function randomExponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next())
}
