/** The quarantine of prompt parts in the platform's store, and the lifts that operators write there. */

import { createHash } from 'node:crypto'
import { z } from 'zod'
import { partKey } from '../policy/partEvidence.js'
import { verdictFactSchema } from '../policy/partQuarantine.js'
import type { Verdict, VerdictFact } from '../policy/partQuarantine.js'
import type { StoreChange, StoreWrite } from './coordination.js'

export type { VerdictFact }

const storedVerdictsSchema = z.array(verdictFactSchema)

/** An operator's word that requests with a part may be sent again. */
export const liftSchema = z.object({ part: z.string().min(1), reason: z.string(), author: z.string() })
export type Lift = z.infer<typeof liftSchema>

export const quarantineKey = (ownPrefix: string) => `${ownPrefix}quarantine`
export const liftPrefix = (ownPrefix: string) => `${ownPrefix}lift/`

/** The write with which an operator lifts the quarantine of a part. Its key has a fixed length, whatever the part's ID is. */
export function liftWrite (ownPrefix: string, lift: Lift): StoreWrite {
  return { key: `${liftPrefix(ownPrefix)}${createHash('sha256').update(lift.part).digest('hex')}`, value: JSON.stringify({ ...lift, part: partKey(lift.part) }) }
}

/** Returns an `Error` if the text is not a list of verdicts. */
export function readVerdicts (text: string): VerdictFact[] | Error {
  return parseJson(storedVerdictsSchema, text)
}

function parseJson<T> (schema: z.ZodType<T>, text: string): T | Error {
  try {
    return schema.parse(JSON.parse(text))
  } catch (error) {
    return error as Error
  }
}

/** What the store holds, as far as this node has seen. */
export class StoredQuarantine {
  /** Lifts that no leader has carried out yet, by key. */
  readonly lifts = new Map<string, Lift>()
  private signature = signatureOf([])

  constructor (private readonly ownPrefix: string) {}

  /** Takes in a change of a key. Returns the verdicts if it is theirs, and an `Error` if the value cannot be read. */
  onChange ({ key, value }: StoreChange): VerdictFact[] | Error | undefined {
    if (key.startsWith(liftPrefix(this.ownPrefix))) {
      const lift = value === undefined ? undefined : parseJson(liftSchema, value)
      if (lift instanceof Error) return lift
      if (lift) this.lifts.set(key, lift)
      else this.lifts.delete(key)
      return undefined
    }
    if (key !== quarantineKey(this.ownPrefix)) return undefined
    const verdicts = value === undefined ? [] : readVerdicts(value)
    if (!(verdicts instanceof Error)) this.signature = signatureOf(verdicts)
    return verdicts
  }

  /** Whether the store does not hold these verdicts. */
  differsFrom (verdicts: readonly Verdict[]): boolean {
    return signatureOf(verdicts) !== this.signature
  }

  writeOf (verdicts: readonly VerdictFact[]): StoreWrite {
    return { key: quarantineKey(this.ownPrefix), value: JSON.stringify(verdicts) }
  }
}

function signatureOf (verdicts: readonly Pick<Verdict, 'parts' | 'renewals'>[]): string {
  return JSON.stringify(verdicts.map(({ parts, renewals }) => [[...parts].sort(), renewals]).sort())
}
