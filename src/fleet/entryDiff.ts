/** Computes and applies differences between two values of an entry. */

import { isDeepStrictEqual } from 'node:util'
import type { EntryPatch } from '../protocol/messages.js'
import { loadFields } from './packing.js'

type Fields = Record<string, unknown>
export type ValueDiff = Pick<EntryPatch, 'set' | 'lists'>

/** Whether `key` belongs to an engine, whose load figures are sent apart from its other fields. */
export function isEngineKey (key: string): boolean {
  return key.startsWith('engine/')
}

/** The changed fields without load figures of engines, or `undefined` if a patch cannot express the change. */
export function diffValues (key: string, before: unknown, after: unknown): ValueDiff | undefined {
  if (!isFields(before) || !isFields(after)) return undefined
  if (Object.keys(before).some(field => after[field] === undefined && before[field] !== undefined)) return undefined
  const diff: ValueDiff = { set: {}, lists: {} }
  for (const [field, value] of Object.entries(after)) {
    if (isEngineKey(key) && (loadFields as readonly string[]).includes(field)) continue
    const old = before[field]
    if (isDeepStrictEqual(old, value)) continue
    const list = diffLists(old, value)
    if (list) diff.lists[field] = list
    else diff.set[field] = value
  }
  return diff
}

/** A difference that applies to the bases of both arguments, which must lead to the same value. */
export function mergeDiffs (left: ValueDiff, right: ValueDiff): ValueDiff {
  const set = { ...left.set, ...right.set }
  const lists: ValueDiff['lists'] = {}
  for (const field of new Set([...Object.keys(left.lists), ...Object.keys(right.lists)])) {
    if (field in set) continue
    const [leftList, rightList] = [left.lists[field], right.lists[field]]
    const items = new Map([...leftList?.set ?? [], ...rightList?.set ?? []].map(item => [(item as { name: string }).name, item]))
    lists[field] = { set: [...items.values()], remove: [...new Set([...leftList?.remove ?? [], ...rightList?.remove ?? []])] }
  }
  return { set, lists }
}

export function isEmptyDiff (diff: ValueDiff): boolean {
  return Object.keys(diff.set).length === 0 && Object.keys(diff.lists).length === 0
}

/** Names of the fields that `diff` changes. */
export function changedFields (diff: ValueDiff): string[] {
  return [...Object.keys(diff.set), ...Object.keys(diff.lists)]
}

/** The value after the change, or `undefined` if `before` is not an object with fields. */
export function applyDiff (before: unknown, diff: ValueDiff): Fields | undefined {
  if (!isFields(before)) return undefined
  const after: Fields = { ...before, ...diff.set }
  for (const [field, { set, remove }] of Object.entries(diff.lists)) {
    const items = new Map((namedItems(before[field]) ?? []).map(item => [item.name, item as unknown]))
    for (const name of remove) items.delete(name)
    for (const item of namedItems(set) ?? []) items.set(item.name, item)
    after[field] = [...items.values()]
  }
  return after
}

function diffLists (before: unknown, after: unknown): { set: unknown[], remove: string[] } | undefined {
  const oldItems = namedItems(before)
  const newItems = namedItems(after)
  if (!oldItems || !newItems) return undefined
  const old = new Map(oldItems.map(item => [item.name, item]))
  const names = new Set(newItems.map(item => item.name))
  return {
    set: newItems.filter(item => !isDeepStrictEqual(old.get(item.name), item)),
    remove: [...old.keys()].filter(name => !names.has(name))
  }
}

function namedItems (value: unknown): { name: string }[] | undefined {
  if (!Array.isArray(value) || !value.every(item => isFields(item) && typeof item.name === 'string')) return undefined
  return value as { name: string }[]
}

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array)
}
