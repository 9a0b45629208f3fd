/** Leaves a stream without a length or chunks between two events. */
import { ResponseWriter } from '../../../src/serving/clientExchange.js'

ResponseWriter.prototype.writeEvents = function (events) {
  return this.response.write(events)
}
