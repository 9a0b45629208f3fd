/**
 * Prints what control costs each node of a fleet, see `fleetTraffic.ts`. Arguments: pairs of `NODES/ENGINES`; the sizes
 * of design.md 1.6 by default.
 */

import { measureFleet } from './fleetTraffic.js'

const sizes = process.argv.slice(2)
for (const size of sizes.length > 0 ? sizes : ['9/20', '40/80', '120/220', '340/600']) {
  const [nodes, engines] = size.split('/').map(Number) as [number, number]
  console.log(JSON.stringify(await measureFleet({ nodes, engines })))
}
