/** Closes the client's connection when an engine is silent for half a second. */
import { RequestForwarder } from '../../../src/serving/requestForwarder.js'

const longestSilenceMs = 500
const pollMs = 50

const { attempt } = RequestForwarder.prototype
RequestForwarder.prototype.attempt = async function (...args) {
  const startMs = performance.now()
  const timer = setInterval(() => {
    if ((this.sinceLastEventMs ?? performance.now() - startMs) > longestSilenceMs) this.writer.abort()
  }, pollMs)
  const result = await attempt.apply(this, args)
  clearInterval(timer)
  return result
}
