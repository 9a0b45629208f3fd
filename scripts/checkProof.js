// Runs the fault matrix and its naive counterpart. Passes over exactly the cases that KNOWN-RED.txt lists, and prints them.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'

const rootDir = resolve(import.meta.dirname, '..')
const main = join(rootDir, 'dist/src/prove/main.js')
const knownRedPath = join(rootDir, 'KNOWN-RED.txt')
const allPoints = 'points violated: 8 of 8'

function prove (...args) {
  const { stdout, status } = spawnSync(process.execPath, [main, ...args], { encoding: 'utf8', maxBuffer: 2 ** 28 })
  process.stdout.write(stdout)
  return { stdout, status }
}

function knownCases () {
  if (!existsSync(knownRedPath)) return new Set()
  return new Set([...readFileSync(knownRedPath, 'utf8').matchAll(/npm run prove -- --case '([^']+)'/g)].map(match => match[1]))
}

const known = knownCases()
const product = prove()
const violated = new Set([...product.stdout.matchAll(/npm run prove -- --case '([^']+)'/g)].map(match => match[1]))
const unknown = [...violated].filter(id => !known.has(id))
const isComplete = /^cases: \d+, violations: \d+, points violated: \d of 8$/m.test(product.stdout)
const naive = prove('--naive')
for (const id of violated) if (known.has(id)) console.log(`known red: ${id}`)
for (const id of unknown) console.error(`violated and not in KNOWN-RED.txt: ${id}`)
if (!isComplete) console.error(`the proof did not finish, exit code ${product.status}`)
if ((product.status === 0) !== (violated.size === 0)) console.error(`exit code ${product.status} does not agree with ${violated.size} violated cases`)
const naiveFails = naive.status !== 0 && naive.stdout.includes(allPoints)
if (!naiveFails) console.error('the naive version did not violate all eight points')
process.exitCode = unknown.length === 0 && isComplete && naiveFails ? 0 : 1
