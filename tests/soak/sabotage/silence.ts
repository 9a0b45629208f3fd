/** Closes the client's connection when an engine is silent for half a second. */
import { Exchange } from '../../../src/serving/exchange.js'

const longestSilenceMs = 500
const pollMs = 50

const { attempt } = Exchange.prototype
Exchange.prototype.attempt = async function (...args) {
  const startMs = performance.now()
  const timer = setInterval(() => {
    if ((this.silentMs ?? performance.now() - startMs) > longestSilenceMs) this.breakOff()
  }, pollMs)
  const result = await attempt.apply(this, args)
  clearInterval(timer)
  return result
}
