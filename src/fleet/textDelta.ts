/** Deltas between two texts: the part between their common prefix and their common suffix. */

import { createHash } from 'node:crypto'
import type { TextDelta } from '../protocol/messages.js'

/** Several changes become one replacement from the first to the last of them. */
export function textDelta (base: string, text: string): TextDelta {
  const maxCommonLength = Math.min(base.length, text.length)
  let start = 0
  while (start < maxCommonLength && base[start] === text[start]) start++
  let end = 0
  while (end < maxCommonLength - start && base[base.length - 1 - end] === text[text.length - 1 - end]) end++
  return { start, end, insert: text.slice(start, text.length - end), hash: hashOf(text) }
}

/** The changed text, or `undefined` if the delta was not made from `base`. */
export function applyTextDelta (base: string, { start, end, insert, hash }: TextDelta): string | undefined {
  if (start < 0 || end < 0 || start + end > base.length) return undefined
  const text = base.slice(0, start) + insert + base.slice(base.length - end)
  return hashOf(text) === hash ? text : undefined
}

function hashOf (text: string): string {
  return createHash('sha256').update(text).digest('base64')
}
