/** Schema-validated views of replicated entries. */

import type { z } from 'zod'
import { parseOnce } from '../base/parseOnce.js'

/** The part of `Dissemination` that other modules use. */
export interface EntryStore {
  publish (key: string, epoch: number, value: unknown, options?: { urgent?: boolean }): void
  list (prefix: string): { key: string, value: unknown }[]
}

/**
 * The entries below a key prefix. Each value is validated once, since every request lists up to 600 engines and
 * validating all of them takes milliseconds.
 */
export class EntryTable<Value> {
  private readonly parse: (value: unknown) => Value | undefined

  constructor (private readonly entries: Pick<EntryStore, 'list'>, private readonly prefix: string, schema: z.ZodType<Value>) {
    this.parse = parseOnce(schema)
  }

  /** Valid values below the prefix. Callers must not modify them. */
  list (): Value[] {
    return this.entries.list(this.prefix).flatMap(({ value }) => this.parse(value) ?? [])
  }
}
