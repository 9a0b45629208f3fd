/** Types of the modules that `undici.ts` imports; undici declares only those of its index. */

declare module 'undici/lib/dispatcher/agent.js' {
  export { Agent as default } from 'undici'
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
  export { Dispatcher as default } from 'undici'
}

declare module 'undici/lib/api/index.js' {
  const api: object
  export default api
}

declare module 'undici/lib/core/connect.js' {
  export { buildConnector as default } from 'undici'
}
