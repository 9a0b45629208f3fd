/** Sends requests to backend servers that are leaving. */
import { BackendServer } from '../../../src/serving/backendServer.js'

Object.defineProperty(BackendServer.prototype, 'isUsable', { get: () => true })
