/**
 * `npm run prove:processes`: faults of real processes and sockets under load, then a check of the stand-ins' logs
 * against what callers were told. It is not part of CI, since its timing depends on the machine.
 */

import { request } from 'node:http'
import sade from 'sade'
import { tokenSource } from '../standins/batcher.js'
import { addressOf, localApiKeys, localDeploymentKey, startLocalDeployment } from '../standins/localDeployment.js'
import { scriptPath, startProcess } from '../standins/processes.js'
import type { LocalDeployment } from '../standins/localDeployment.js'
import type { EngineLog } from '../standins/engine.js'
import type { Execution } from '../standins/service.js'

const hotModels = ['gourd-advisor', 'bombilla-finder']
/** Asked for seldom, so that the fleet loads models throughout a case. */
const coldModels = ['crack-diagnosis', 'curing-guide', 'gift-writer', 'order-helper']
const coldEvery = 15
const tokensForEach = 60
const workers = 12
/** Longer than failure detection (8 s) and the silence of an engine (3 s). */
const pauseMs = 14_000
const settleTimeoutMs = 40_000
const answerTimeoutMs = 60_000

/** What one caller sent and was told. */
interface Told {
  kind: 'order' | 'whole' | 'streamed'
  /** Names an order in the service's log, through its path. */
  name: string
  status: number
  /** `complete`, an outcome of the problem details, or `cut` if the connection ended. */
  result: 'complete' | 'not-run' | 'unknown' | 'failed' | 'cut'
  requestId: string | undefined
  /** What is wrong with the answer itself. */
  wrong: string | undefined
}

interface Case {
  name: string
  /** Injects the fault while requests run. May return what ends the processes that it started. */
  inject: (deployment: LocalDeployment) => Promise<void | (() => Promise<unknown>)>
}

const sleepMs = (delayMs: number) => new Promise<void>(resolve => setTimeout(resolve, delayMs))

async function operators<T> (deployment: LocalDeployment, node: number, path: string, body?: unknown): Promise<T> {
  const answer = await fetch(`http://${deployment.nodes[node]!.ready.operatorsAddress}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${localDeploymentKey}`, 'content-type': 'application/json' },
    signal: AbortSignal.timeout(20_000),
    ...body !== undefined && { body: JSON.stringify(body) }
  })
  if (!answer.ok) throw new Error(`${path} answered ${answer.status}: ${await answer.text()}`)
  return await answer.json() as T
}

function modelOf (index: number): string {
  return index % coldEvery === 1 ? coldModels[Math.floor(index / coldEvery) % coldModels.length]! : hotModels[index % hotModels.length]!
}

/** The node that controls an engine with a model load in progress, once there is one. */
async function controllerDuringLoad (deployment: LocalDeployment): Promise<number> {
  const endMs = Date.now() + settleTimeoutMs
  while (Date.now() < endMs) {
    const { engines } = await operators<{ engines: { controller: string, models: { state: string }[] }[] }>(deployment, 0, '/v1/status')
    const loading = engines.find(engine => engine.models.some(({ state }) => state === 'loading'))
    if (loading) return Number(loading.controller.replace('entry-', '')) - 1
    await sleepMs(20)
  }
  throw new Error('no engine loads a model')
}

/** Sends and closes the socket before the answer. */
function sendAndCut (url: string, body: unknown): Promise<void> {
  return new Promise(resolve => {
    const outgoing = request(`${url}/v1/completions`, { method: 'POST', agent: false, headers: { authorization: `Bearer ${localApiKeys.live}`, 'content-type': 'application/json' } })
    outgoing.on('error', () => {})
    outgoing.on('close', () => resolve())
    outgoing.end(JSON.stringify(body))
    setTimeout(() => outgoing.destroy(), 5 + Math.random() * 100)
  })
}

const cases: Case[] = [
  { name: 'no fault', inject: async () => { await sleepMs(2_000) } },
  {
    name: 'a node is killed during requests and orders',
    inject: async deployment => { await deployment.nodes[1]!.stop('SIGKILL') }
  },
  {
    name: 'the node that controls a loading engine is paused past all timeouts',
    inject: async deployment => {
      const { process: paused } = deployment.nodes[await controllerDuringLoad(deployment)]!
      paused.kill('SIGSTOP')
      await sleepMs(pauseMs)
      paused.kill('SIGCONT')
      await sleepMs(3_000)
    }
  },
  {
    name: 'an engine is killed in mid-stream',
    inject: async deployment => { await deployment.engines[1]!.stop('SIGKILL') }
  },
  {
    name: 'the key-value service is paused for a while',
    inject: async deployment => {
      const { process: paused } = deployment.keyValueProcess
      paused.kill('SIGSTOP')
      await sleepMs(6_000)
      paused.kill('SIGCONT')
    }
  },
  {
    name: 'the key-value service is killed and restarts without its entries',
    inject: async deployment => {
      await deployment.keyValueProcess.stop('SIGKILL')
      await sleepMs(4_000)
      const port = deployment.keyValue.split(':')[1]!
      const restarted = await startProcess('key-value', scriptPath('standins/main.js'), ['key-value', '--port', port], {
        readReady: line => typeof line.listening === 'string' ? line : undefined
      })
      await sleepMs(6_000)
      return () => restarted.stop('SIGKILL')
    }
  },
  {
    name: 'callers cut their sockets',
    inject: async deployment => {
      const cuts = Array.from({ length: 60 }, (_, index) => sendAndCut(deployment.callerUrls[index % 2]!, { model: hotModels[index % 2], prompt: `cut ${index}`, max_tokens: 500, stream: true }))
      await Promise.all(cuts)
    }
  }
]

/** Sends one request and reads what the caller is told. Never rejects. */
function ask (url: string, kind: Told['kind'], name: string, index: number): Promise<Told> {
  const model = modelOf(index)
  const prompt = `question ${name}`
  const body = kind === 'order' ? { order: name } : { model, prompt, max_tokens: tokensForEach, stream: kind === 'streamed' }
  const headers: Record<string, string> = { authorization: `Bearer ${kind === 'order' ? localApiKeys.urgent : localApiKeys.live}`, 'content-type': 'application/json' }
  if (kind === 'order' && index % 2 === 0) headers['idempotency-key'] = name
  return new Promise(resolve => {
    const told: Told = { kind, name, status: 0, result: 'cut', requestId: undefined, wrong: undefined }
    const outgoing = request(url + (kind === 'order' ? `/orders/${name}` : '/v1/completions'), { method: 'POST', agent: false, headers }, answer => {
      let text = ''
      told.status = answer.statusCode!
      told.requestId = answer.headers['x-request-id'] as string | undefined
      answer.setEncoding('utf8')
      answer.on('data', part => { text += part })
      answer.on('error', () => {})
      answer.on('close', () => {
        clearTimeout(timer)
        judge(told, text, answer.complete, model, prompt)
        resolve(told)
      })
    })
    const timer = setTimeout(() => {
      told.wrong = `no answer within ${answerTimeoutMs} ms`
      outgoing.destroy()
      resolve(told)
    }, answerTimeoutMs)
    outgoing.on('error', () => {
      clearTimeout(timer)
      resolve(told)
    })
    outgoing.end(JSON.stringify(body))
  })
}

/** Fills in the result, and what is wrong with an answer that claims to be whole. */
function judge (told: Told, text: string, isWhole: boolean, model: string, prompt: string): void {
  if (told.status >= 400) {
    told.result = outcomeIn(text) ?? 'cut'
    return
  }
  if (told.kind === 'order') {
    told.result = isWhole ? 'complete' : 'cut'
    if (isWhole && !text.includes(told.name)) told.wrong = `the answer belongs to another order: ${text}`
    return
  }
  const tokenAt = tokenSource({ model: `${model}@1`, adapter: undefined, prompt })
  const expected = Array.from({ length: tokensForEach }, (_, index) => tokenAt(index)).join('')
  if (told.kind === 'whole') {
    told.result = isWhole ? 'complete' : 'cut'
    if (isWhole && (JSON.parse(text) as { choices: { text: string }[] }).choices[0]!.text !== expected) told.wrong = 'the whole answer has wrong tokens'
    return
  }
  const events = text.split('\n\n')
  const error = events.find(event => event.startsWith('event: error'))
  const tokens = events.filter(event => event.startsWith('data: {')).map(event => (JSON.parse(event.slice('data: '.length)) as { choices: { text: string }[] }).choices[0]?.text ?? '').join('')
  const isDone = text.endsWith('data: [DONE]\n\n')
  told.result = isDone && isWhole ? 'complete' : error ? outcomeIn(error.slice(error.indexOf('{'))) ?? 'cut' : 'cut'
  if (isDone && tokens !== expected) told.wrong = 'the streamed answer has wrong tokens'
  else if (!expected.startsWith(tokens)) told.wrong = 'the cut stream has wrong tokens'
  else if (error && (isDone || isWhole)) told.wrong = 'a stream with an error looks whole'
  else if (!isDone && isWhole) told.wrong = 'a stream without [DONE] ended its connection as if it were whole'
}

function outcomeIn (json: string): Told['result'] | undefined {
  try {
    return (JSON.parse(json) as { outcome?: Told['result'] }).outcome
  } catch {
    return undefined
  }
}

/** Keeps requests of all kinds running until `isOver`. */
async function load (deployment: LocalDeployment, isOver: () => boolean): Promise<Told[]> {
  const told: Told[] = []
  let next = 0
  await Promise.all(Array.from({ length: workers }, async () => {
    while (!isOver()) {
      const index = next++
      const kind = (['order', 'whole', 'streamed'] as const)[index % 3]!
      const result = await ask(deployment.callerUrls[Math.floor(index / 3) % 2]!, kind, `${kind}-${index}`, index)
      told.push(result)
      // A refused or cut connection must not make the loop spin.
      if (result.result !== 'complete') await sleepMs(100)
    }
  }))
  return told
}

async function logOf<T> (address: string): Promise<T | undefined> {
  try {
    return await (await fetch(`http://${address}/log`, { signal: AbortSignal.timeout(10_000) })).json() as T
  } catch {
    return undefined
  }
}

/** What the logs and the callers' answers contradict. */
async function violationsOf (deployment: LocalDeployment, told: Told[], versions: number[][]): Promise<string[]> {
  const violations = told.flatMap(({ name, wrong }) => wrong === undefined ? [] : [`${name}: ${wrong}`])
  const executions = await logOf<Execution[]>(addressOf(deployment.services[0]!))
  if (!executions) violations.push('the service has no log')
  const runs = new Map<string, number>()
  for (const { path } of executions ?? []) runs.set(path, (runs.get(path) ?? 0) + 1)
  for (const { kind, name, result } of told) {
    if (kind !== 'order') continue
    const count = runs.get(`/${name}`) ?? 0
    if (count > 1) violations.push(`${name} ran ${count} times`)
    if (result === 'not-run' && count > 0) violations.push(`${name} ran, and its caller was told that it did not`)
    if (result === 'complete' && count !== 1) violations.push(`${name} was answered, and ran ${count} times`)
  }
  const notRun = new Set(told.filter(({ result }) => result === 'not-run').map(({ requestId }) => requestId))
  for (const engine of deployment.engines) {
    const log = await logOf<EngineLog>(addressOf(engine))
    // The log of a killed engine is lost with it.
    if (!log) continue
    for (const violation of log.violations) violations.push(`memory of ${engine.name} was overcommitted by ${violation.commandId}`)
    for (const { requestId, generated } of log.requests) {
      if (generated > 0 && notRun.has(requestId)) violations.push(`request ${requestId} ran on ${engine.name}, and its caller was told that it did not`)
    }
  }
  for (const [index, seen] of versions.entries()) {
    const reverted = seen.findIndex((version, position) => position > 0 && version < seen[position - 1]!)
    if (reverted > 0) violations.push(`the configuration of node ${index + 1} went from version ${seen[reverted - 1]} to ${seen[reverted]}`)
  }
  return violations
}

/** Records the version in force on each node, and proposes new ones, until `isOver`. */
async function changeConfig (deployment: LocalDeployment, isOver: () => boolean): Promise<{ versions: number[][], accepted: number }> {
  const versions: number[][] = deployment.nodes.map(() => [])
  let accepted = 1
  let attempt = 0
  while (!isOver()) {
    const proposed = (async () => {
      const { version, text } = await operators<{ version: number, text: string }>(deployment, 0, '/v1/config')
      const result = await operators<{ version: number }>(deployment, 0, '/v1/config', { baseVersion: version, text: `${text}\n; change ${attempt}\n`, author: 'prove', reason: 'a change during faults', proposalId: `prove-${attempt++}` })
      accepted = Math.max(accepted, result.version)
    })().catch(() => {})
    const read = deployment.nodes.map(async (_, index) => {
      const answer = await operators<{ version: number }>(deployment, index, '/v1/config').catch(() => undefined)
      if (answer) versions[index]!.push(answer.version)
    })
    await Promise.all([proposed, ...read, sleepMs(500)])
  }
  return { versions, accepted }
}

async function inForceAgain (deployment: LocalDeployment, accepted: number): Promise<string[]> {
  const endMs = Date.now() + settleTimeoutMs
  const behind = async () => {
    const states = await Promise.all(deployment.nodes.map(async ({ name, process: { exitCode, signalCode } }, index) => {
      if (exitCode !== null || signalCode !== null) return undefined
      const answer = await operators<{ version: number }>(deployment, index, '/v1/config').catch(() => undefined)
      return (answer?.version ?? 0) >= accepted ? undefined : `${name} has version ${answer?.version} of the accepted ${accepted}`
    }))
    return states.filter(state => state !== undefined)
  }
  let missing = await behind()
  while (missing.length > 0 && Date.now() < endMs) {
    await sleepMs(200)
    missing = await behind()
  }
  return missing
}

async function runCase ({ name, inject }: Case): Promise<string[]> {
  const deployment = await startLocalDeployment({ engineArgs: ['--step-ms', '10'] })
  let cleanUp = async (): Promise<unknown> => undefined
  try {
    let over = false
    const answers = load(deployment, () => over)
    const changes = changeConfig(deployment, () => over)
    try {
      await sleepMs(3_000)
      cleanUp = await inject(deployment) ?? cleanUp
      await sleepMs(2_000)
    } finally {
      over = true
    }
    const told = await answers
    const { versions, accepted } = await changes
    const violations = [...await inForceAgain(deployment, accepted), ...await violationsOf(deployment, told, versions)]
    const counts = new Map<string, number>()
    for (const { result } of told) counts.set(result, (counts.get(result) ?? 0) + 1)
    process.stdout.write(`${name}: ${told.length} requests (${[...counts].map(([result, count]) => `${result} ${count}`).join(', ')}), configuration ${accepted}, ${violations.length} violations\n`)
    // A case without a single whole answer would prove nothing.
    if (!counts.get('complete')) violations.push('no request was answered')
    return violations
  } finally {
    // SIGTERM would wait for the notice of each node, and a paused one would not end.
    await Promise.all(deployment.nodes.map(node => node.stop('SIGKILL')))
    await deployment.stop()
    await cleanUp()
  }
}

sade('prove-processes', true)
  .describe('Injects faults into real processes and checks what callers were told')
  .option('--case', 'Only the cases whose name contains this text')
  .action(async (options: { case?: string }) => {
    const chosen = cases.filter(({ name }) => name.includes(options.case ?? ''))
    let count = 0
    for (const chosenCase of chosen) {
      const violations = await runCase(chosenCase).catch((error: unknown) => [`the case failed: ${String(error)}`])
      count += violations.length
      for (const violation of violations) process.stdout.write(`  violation: ${violation}\n`)
    }
    process.stdout.write(`cases: ${chosen.length}, violations: ${count}\n`)
    process.exitCode = count > 0 || chosen.length === 0 ? 1 : 0
  })
  .parse(process.argv)
