/** Checks values that do not change against a schema once. */

import type { z } from 'zod'

/** A parser that remembers its result for each object, which must not be changed afterwards. `undefined`: not valid. */
export function parseOnce<Schema extends z.ZodType> (schema: Schema): (value: unknown) => z.infer<Schema> | undefined {
  const results = new WeakMap<object, { data: z.infer<Schema> | undefined }>()
  return value => {
    if (typeof value !== 'object' || value === null) return schema.safeParse(value).data
    let result = results.get(value)
    if (!result) {
      result = { data: schema.safeParse(value).data }
      results.set(value, result)
    }
    return result.data
  }
}
