/** Takes the close of a connection for the end of its answer. */
import { ProcessEvidence } from '../../../src/serving/processEvidence.js'

ProcessEvidence.prototype.isProcessAlive = () => Promise.resolve(true)
