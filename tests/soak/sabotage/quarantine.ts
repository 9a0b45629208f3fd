/** Sends requests whatever engines ended under their prompt parts. */
import { PartQuarantine } from '../../../src/policy/partQuarantine.js'

PartQuarantine.prototype.check = () => ({ kind: 'clear' })
