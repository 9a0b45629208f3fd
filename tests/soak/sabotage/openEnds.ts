/** Leaves a stream without a length or chunks between two events. */
import { StreamTail } from '../../../src/policy/streamTail.js'

StreamTail.prototype.push = blocks => Buffer.concat(blocks.map(({ bytes }) => bytes))
