/** States the ends of answers whose servers did not. */
import { ResponseWriter } from '../../../src/serving/clientExchange.js'

const { beginStream, sendResponse } = ResponseWriter.prototype
ResponseWriter.prototype.beginStream = function (head, headers) {
  beginStream.call(this, { ...head, endsWithConnection: false }, headers)
}
ResponseWriter.prototype.sendResponse = function ({ head, body }, headers) {
  sendResponse.call(this, { head: { ...head, endsWithConnection: false }, body }, headers)
}
ResponseWriter.prototype.mayEndAfter = () => true
