/** Keys of client accounts, kept as hashes. */

import { createHash } from 'node:crypto'

/** SHA-256 of a key, in hex. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
