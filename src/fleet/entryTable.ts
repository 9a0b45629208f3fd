/** Checked values of entries. */

import type { z } from 'zod'
import { parseOnce } from '../base/parseOnce.js'

/** What modules need of the dissemination between nodes. */
export interface EntryStore {
  publish (key: string, epoch: number, value: unknown, options?: { urgent?: boolean }): void
  list (prefix: string): { key: string, value: unknown }[]
}

/**
 * The entries below a prefix. A list of 600 engines is asked for at each request, and checking all of them takes
 * milliseconds, so each value is checked once.
 */
export class EntryTable<Value> {
  private readonly parse: (value: unknown) => Value | undefined

  constructor (private readonly entries: Pick<EntryStore, 'list'>, private readonly prefix: string, schema: z.ZodType<Value>) {
    this.parse = parseOnce(schema)
  }

  /** Valid values below the prefix. They must not be changed. */
  list (): Value[] {
    return this.entries.list(this.prefix).flatMap(({ value }) => this.parse(value) ?? [])
  }
}
