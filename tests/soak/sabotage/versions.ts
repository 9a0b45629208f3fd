/** Takes all backend servers for ones of the same software version, so that streams go on at any of them. */
import { codecs } from '../../../src/platform/httpCodecs.js'

const { readBackend } = codecs
codecs.readBackend = (id, text) => {
  const entry = readBackend(id, text)
  return entry instanceof Error ? entry : { ...entry, softwareVersion: 'any' }
}
