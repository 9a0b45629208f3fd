/** `teaselrill quarantine`: lists and lifts quarantines of prompt parts, through the platform's store. */

import type { Clock } from '../base/clock.js'
import { liftWrite, quarantineKey, readVerdicts } from '../serving/storedQuarantine.js'
import type { Lift, VerdictFact } from '../serving/storedQuarantine.js'
import { codecs } from './httpCodecs.js'
import { withStore } from './storeAccess.js'

/** The quarantines in the store, whose ages and remaining times are those of the moment at which they were written. */
export function listQuarantines (settingsFile: string | undefined, clock: Clock): Promise<VerdictFact[]> {
  return withStore(settingsFile, clock, async store => {
    const key = quarantineKey(codecs.keys.own)
    const { items } = await store.list(key)
    const verdicts = readVerdicts(items.find(item => item.key === key)?.value ?? '[]')
    if (verdicts instanceof Error) throw verdicts
    return verdicts
  })
}

/** Writes the lift, which the placement leader carries out when it reads it. */
export async function liftQuarantine (settingsFile: string | undefined, clock: Clock, lift: Lift): Promise<void> {
  await withStore(settingsFile, clock, store => store.commit({ writes: [liftWrite(codecs.keys.own, lift)] }))
}
