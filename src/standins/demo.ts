/** `npm start`: runs a local deployment until interrupted, or for a number of requests. */

import Table from 'cli-table3'
import sade from 'sade'
import { sendDemoRequests } from './demoRequests.js'
import type { DemoResult } from './demoRequests.js'
import { addressOf, localApiKeys, startLocalDeployment } from './localDeployment.js'
import type { LocalDeployment } from './localDeployment.js'

function describe (deployment: LocalDeployment): string {
  const { callerUrls, nodes, engines, services } = deployment
  const lines = [
    ...nodes.map((node, index) => `${node.name}: callers ${callerUrls[index]}, operators http://${node.ready.operatorsAddress}, peers ${node.ready.peersAddress}`),
    ...engines.map(engine => `${engine.name}: http://${addressOf(engine)}`),
    ...services.map(service => `${service.name}: http://${addressOf(service)}`),
    `key-value service: http://${deployment.keyValue}, VM list: http://${deployment.vmList}, weight store: http://${deployment.weightStore}`,
    '',
    'Try:',
    `curl -sN ${callerUrls[0]}/v1/chat/completions -H 'Authorization: Bearer ${localApiKeys.live}' -H 'Content-Type: application/json' -d '{"model":"gourd-advisor","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"How do I cure a gourd?"}]}'`,
    `npx teaselrill status --settings ${deployment.settingsFiles[0]}`,
    ''
  ]
  return lines.join('\n')
}

function tableOf (results: DemoResult[]): string {
  const table = new Table({ head: ['rank', 'requests', 'whole answers', 'failed', 'slowest (ms)'], style: { head: [], border: [] } })
  for (const rank of Object.keys(localApiKeys)) {
    const ofRank = results.filter(result => result.rank === rank)
    const complete = ofRank.filter(result => result.complete).length
    table.push([rank, ofRank.length, complete, ofRank.length - complete, Math.max(0, ...ofRank.map(result => result.durationMs))])
  }
  return table.toString()
}

async function runRequests (deployment: LocalDeployment, count: number): Promise<boolean> {
  const results = await sendDemoRequests(deployment.callerUrls, count)
  process.stdout.write(`${tableOf(results)}\n`)
  for (const result of results.filter(({ complete }) => !complete)) {
    process.stdout.write(`${result.rank}, ${result.kind}: ${result.detail}\n`)
  }
  return results.length === count && results.every(({ complete }) => complete)
}

function untilInterrupted (): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

sade('teaselrill-demo', true)
  .describe('Runs a whole small deployment on loopback')
  .option('--requests', 'Send this many mixed requests, print a table of outcomes and stop')
  .option('--log', 'Print the log lines of the nodes', false)
  .action(async (options: { requests?: number, log: boolean }) => {
    const count = options.requests === undefined ? undefined : Number(options.requests)
    if (count !== undefined && !(Number.isInteger(count) && count > 0)) {
      process.stderr.write(`--requests is ${JSON.stringify(options.requests)}, allowed is a whole number above 0\n`)
      process.exitCode = 2
      return
    }
    const deployment = await startLocalDeployment({ onLine: line => { if (options.log) process.stderr.write(`${line}\n`) } })
    process.stdout.write(describe(deployment))
    try {
      if (count === undefined) await untilInterrupted()
      else process.exitCode = await runRequests(deployment, count) ? 0 : 1
    } finally {
      await deployment.stop()
    }
  })
  .parse(process.argv)
