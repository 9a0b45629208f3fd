/** `npm run soak -- [--seed N] [--seeds N] [--seconds N] [--nodes N] [--only FAULT,...] [--streams] [--accounts] [--releases] [--sabotage NAME]` */

import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { runSoak } from './runSoak.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '25' },
    nodes: { type: 'string', default: '4' },
    streams: { type: 'boolean' },
    accounts: { type: 'boolean' },
    releases: { type: 'boolean' },
    only: { type: 'string' },
    sabotage: { type: 'string' }
  }
})
const firstSeed = values.seed === undefined ? Math.floor(Math.random() * 1_000_000) : Number(values.seed)
let failed = 0
for (let index = 0; index < Number(values.seeds); index++) {
  const seed = firstSeed + index
  const directory = join(tmpdir(), `teaselrill-soak-${process.pid}-${seed}`)
  const { violations, counts, played, servedAtEnd } = await runSoak({
    seed, directory, durationMs: Number(values.seconds) * 1000, nodeCount: Number(values.nodes), only: values.only?.split(','), sabotage: values.sabotage, onlyStreams: values.streams, hasAccounts: values.accounts, hasReleases: values.releases
  })
  console.log(`seed ${seed}: ${violations.length} violations, ${(servedAtEnd * 100).toFixed(1)}% served at the end, ${JSON.stringify(counts)}`)
  if (violations.length === 0) continue
  failed++
  console.log(`  faults: ${played.join(', ')}\n  logs: ${directory}\n${violations.slice(0, 20).map(line => `  ${line}`).join('\n')}`)
}
console.log(`${Number(values.seeds) - failed} seeds passed, ${failed} failed`)
process.exitCode = failed > 0 ? 1 : 0
