/** How engines name the prompt prefixes in their caches. */

import { hash32 } from '../base/hash.js'

/** Characters in one block of a prefix cache. */
export const prefixBlockChars = 256
/** Characters that count as one token. */
export const charsPerToken = 4

/** Tokens of a prompt. */
export function promptTokens (prompt: string): number {
  return Math.ceil(prompt.length / charsPerToken)
}

/** The hash of each prefix that ends on a block boundary, shortest first. Each hash covers the one before it. */
export function prefixHashes (model: string, adapter: string | undefined, prompt: string): number[] {
  const hashes: number[] = []
  let previous = hash32(`${model}\u0000${adapter ?? ''}`)
  for (let end = prefixBlockChars; end <= prompt.length; end += prefixBlockChars) {
    previous = hash32(`${previous}\u0000${prompt.slice(end - prefixBlockChars, end)}`)
    hashes.push(previous)
  }
  return hashes
}
