/** Matches requests to routes and services. */

import { hash32 } from '../base/hash.js'
import type { Route } from './deployment.js'

/** Routes by host; the longest matching path prefix wins. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const key = route.host.toLowerCase()
      const list = this.byHost.get(key)
      if (list) list.push(route)
      else this.byHost.set(key, [route])
    }
    for (const list of this.byHost.values()) list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  }

  find (host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    return this.byHost.get(name)?.find(route => path.startsWith(route.pathPrefix))
  }
}

/**
 * Returns the service for a request, by target weight if the route is split. The same request ID always gets the same service. A split
 * without a target of positive weight has none.
 */
export function serviceOf (route: Route, requestId: string): string | undefined {
  if (route.targets.length === 1) return route.targets[0]!.service
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let point = hash32(requestId) / 2 ** 32 * total
  for (const target of route.targets) {
    point -= target.weight
    if (point < 0) return target.service
  }
  return route.targets.at(-1)?.service
}
