/** The platform's store for commands, which read its address from a settings file. */

import { readFileSync } from 'node:fs'
import type { Clock } from '../base/clock.js'
import { codecs } from './httpCodecs.js'
import { readSettingsFile, settingsPath } from './settingsFile.js'
import { StoreClient } from './storeClient.js'

/** Calls `action` with the store of the settings file. Rejects with `FindingsError` for unusable settings, and with the errors of `CoordinationStore`. */
export async function withStore<T> (settingsFile: string | undefined, clock: Clock, action: (store: StoreClient) => Promise<T>): Promise<T> {
  const path = settingsFile ?? settingsPath()
  const { store: { address } } = readSettingsFile(readFileSync(path, 'utf8'), path)
  const store = new StoreClient(address, clock)
  try {
    return await action(store)
  } finally {
    await store.close()
  }
}

/** Text of the configuration in the store; `undefined` if there is none. Rejects like `withStore`. */
export function readStoredConfig (settingsFile: string | undefined, clock: Clock): Promise<string | undefined> {
  return withStore(settingsFile, clock, async store => {
    const key = codecs.keys.deployment
    const { items } = await store.list(key)
    return items.find(item => item.key === key)?.value
  })
}
