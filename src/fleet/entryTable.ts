/** Checked values of entries, checked once for each value and not at each use. */

import type { z } from 'zod'

/** What modules need of the dissemination between nodes. */
export interface EntryStore {
  publish (key: string, epoch: number, value: unknown, options?: { urgent?: boolean }): void
  list (prefix: string): { key: string, value: unknown }[]
}

/** A list of 600 engines is asked for at each request, and checking all of them takes milliseconds. */
export class EntryTable<Value> {
  /** By the entry's value, which dissemination replaces and never changes; `undefined` for an invalid one. */
  private readonly checked = new WeakMap<object, Value | undefined>()

  constructor (private readonly entries: Pick<EntryStore, 'list'>, private readonly prefix: string, private readonly schema: z.ZodType<Value>) {}

  /** Valid values below the prefix. They must not be changed. */
  list (): Value[] {
    const values: Value[] = []
    for (const { value } of this.entries.list(this.prefix)) {
      if (typeof value !== 'object' || value === null) continue
      if (!this.checked.has(value)) this.checked.set(value, this.schema.safeParse(value).data)
      const known = this.checked.get(value)
      if (known !== undefined) values.push(known)
    }
    return values
  }
}
