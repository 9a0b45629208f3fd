/** Closes the client's connection when an engine is silent for half a second. */
import { Exchange } from '../../../src/serving/exchange.js'

const longestSilenceMs = 500
const pollMs = 50

const { attempt } = Exchange.prototype
Exchange.prototype.attempt = async function (server) {
  const startMs = performance.now()
  const timer = setInterval(() => {
    if ((this.silentMs ?? performance.now() - startMs) > longestSilenceMs) this.breakOff()
  }, pollMs)
  const result = await attempt.call(this, server)
  clearInterval(timer)
  return result
}
