/** Ignores what backend servers say about themselves in their responses. */
import { BackendServer } from '../../../src/serving/backendServer.js'

BackendServer.prototype.onNotice = () => {}
