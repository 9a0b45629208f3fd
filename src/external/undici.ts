/**
 * The parts of undici for calls. Its index also loads fetch, WebSocket, caches and mocks, which takes two thirds of its processor time
 * at a node's start; a restarted node serves on as little as a third of a core.
 */

import Agent from 'undici/lib/dispatcher/agent.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import api from 'undici/lib/api/index.js'

// As undici's index does.
Object.assign(Dispatcher.prototype, api)

export { Agent }
export { default as buildConnector } from 'undici/lib/core/connect.js'
