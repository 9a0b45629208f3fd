/** Sends a mix of requests to a deployment and checks that each gets its whole answer. */

import { localApiKeys } from './localDeployment.js'

type RankName = keyof typeof localApiKeys

/** What one request got. */
export interface DemoResult {
  rank: RankName
  kind: string
  complete: boolean
  detail: string
  durationMs: number
}

const rankNames = Object.keys(localApiKeys) as RankName[]
const models = ['gourd-advisor', 'bombilla-finder', 'gourd-advisor-shop-12', 'crack-diagnosis']
/** Not asked for by the others, so that the fleet has to load it when the request comes. */
const coldModel = 'archive-reader'
const maxTokens = 20
const parallelRequests = 8

/** Sends `count` requests: streamed and whole ones of all ranks, orders, and one for a model that is not loaded. */
export async function sendDemoRequests (callerUrls: readonly string[], count: number): Promise<DemoResult[]> {
  const results: DemoResult[] = []
  let next = 0
  const worker = async () => {
    while (next < count) {
      const index = next++
      results.push(await sendOne(callerUrls[index % callerUrls.length]!, index, count))
    }
  }
  await Promise.all(Array.from({ length: parallelRequests }, worker))
  return results
}

async function sendOne (url: string, index: number, count: number): Promise<DemoResult> {
  const rank = rankNames[index % rankNames.length]!
  const isCold = index === count - 1
  const kind = isCold ? 'cold model' : index % 7 === 3 ? 'order' : index % 2 === 0 ? 'streamed' : 'whole'
  const startedAtMs = Date.now()
  let detail: string
  try {
    if (kind === 'order') detail = await sendOrder(url, rank, index)
    else if (kind === 'streamed') detail = await sendStreamed(url, rank, models[index % models.length]!, index)
    else detail = await sendWhole(url, rank, isCold ? coldModel : models[index % models.length]!, index)
  } catch (error) {
    detail = String(error)
  }
  return { rank, kind, complete: detail === '', detail, durationMs: Date.now() - startedAtMs }
}

function post (url: string, rank: RankName, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(url, {
    method: 'POST',
    headers: { authorization: `Bearer ${localApiKeys[rank]}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body)
  })
}

/** Each of these returns what was wrong with the answer; nothing if it was whole. */
async function sendOrder (url: string, rank: RankName, index: number): Promise<string> {
  const response = await post(`${url}/orders/new`, rank, { gourd: index }, { 'idempotency-key': `demo-${process.pid}-${index}` })
  const text = await response.text()
  return response.ok && text.length > 0 ? '' : `status ${response.status}: ${text}`
}

async function sendWhole (url: string, rank: RankName, model: string, index: number): Promise<string> {
  const response = await post(`${url}/v1/chat/completions`, rank, { model, max_tokens: maxTokens, messages: [{ role: 'user', content: `question ${index}` }] })
  const text = await response.text()
  if (!response.ok) return `status ${response.status}: ${text}`
  const { choices, usage } = JSON.parse(text) as { choices: { message: { content: string }, finish_reason: string }[], usage: { completion_tokens: number } }
  const isWhole = choices[0]!.message.content.length > 0 && ['stop', 'length'].includes(choices[0]!.finish_reason) && usage.completion_tokens > 0
  return isWhole ? '' : `incomplete answer: ${text}`
}

async function sendStreamed (url: string, rank: RankName, model: string, index: number): Promise<string> {
  const response = await post(`${url}/v1/completions`, rank, { model, max_tokens: maxTokens, stream: true, prompt: `question ${index}` })
  const text = await response.text()
  if (!response.ok) return `status ${response.status}: ${text}`
  return text.endsWith('data: [DONE]\n\n') ? '' : `the stream ended without [DONE]: ${text.slice(-200)}`
}
