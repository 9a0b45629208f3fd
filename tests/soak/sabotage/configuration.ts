/** Keeps the first configuration that it reads. */
import { ServingNode } from '../../../src/serving/servingNode.js'

const prototype = ServingNode.prototype as unknown as { onDeployment (text: string): void }
const { onDeployment } = prototype
const read = new WeakSet<object>()
prototype.onDeployment = function (this: object, text: string) {
  if (read.has(this)) return
  read.add(this)
  onDeployment.call(this, text)
}
