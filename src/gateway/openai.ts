/** The OpenAI-compatible shapes of requests and answers. */

import { z } from 'zod'
import { ProblemError } from './problem.js'
import type { Work } from './exchange.js'

const defaultMaxTokens = 256
const maxMaxTokens = 32_768

const contentPartSchema = z.object({ type: z.literal('text'), text: z.string() })
const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(contentPartSchema), z.null()])
})
const commonFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().positive().max(maxMaxTokens).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  n: z.literal(1).nullish()
}
const chatSchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: z.number().int().positive().max(maxMaxTokens).nullish()
})
const completionSchema = z.object({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)])
})

/** Fields whose silent omission would change the answer. */
const unsupportedFields = ['stop', 'tools', 'functions', 'response_format', 'logprobs', 'best_of', 'suffix', 'echo', 'audio'] as const

export type InferenceWork = Extract<Work, { kind: 'inference' }>
type ParsedWork = Omit<InferenceWork, 'model' | 'adapter'>

function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body))
  } catch {
    throw new ProblemError(400, 'bad-request', 'not-run', 'the body is not valid JSON in UTF-8')
  }
}

function parseWith<Schema extends z.ZodType> (schema: Schema, value: unknown): z.infer<Schema> {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const mistakes = result.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  throw new ProblemError(400, 'bad-request', 'not-run', mistakes.join('; '))
}

function rejectUnsupported (value: unknown): void {
  const used = unsupportedFields.filter(field => (value as Record<string, unknown>)?.[field] != null)
  if (used.length > 0) throw new ProblemError(400, 'unsupported', 'not-run', `not supported: ${used.join(', ')}`)
}

function messageText (content: z.infer<typeof messageSchema>['content']): string {
  if (content === null) return ''
  return typeof content === 'string' ? content : content.map(part => part.text).join('')
}

/** Reads and checks a body. Throws `ProblemError` with status 400. */
function parseBody<Schema extends z.ZodType> (schema: Schema, body: Uint8Array): z.infer<Schema> {
  const json = parseJson(body)
  const request = parseWith(schema, json)
  rejectUnsupported(json)
  return request
}

type CommonRequest = Pick<z.infer<typeof completionSchema>, keyof typeof commonFields>

/** What both interfaces have in common. */
function commonWork (request: CommonRequest) {
  return {
    kind: 'inference' as const,
    requestedModel: request.model,
    stream: request.stream ?? false,
    includeUsage: request.stream_options?.include_usage ?? false
  }
}

/** Reads the body of `POST /v1/chat/completions`. Throws `ProblemError` with status 400. */
export function parseChatRequest (body: Uint8Array): ParsedWork {
  const request = parseBody(chatSchema, body)
  return {
    ...commonWork(request),
    prompt: request.messages.map(message => `${message.role}: ${messageText(message.content)}`).join('\n'),
    maxTokens: request.max_completion_tokens ?? request.max_tokens ?? defaultMaxTokens,
    format: 'chat'
  }
}

/** Reads the body of `POST /v1/completions`. Throws `ProblemError` with status 400. */
export function parseCompletionRequest (body: Uint8Array): ParsedWork {
  const request = parseBody(completionSchema, body)
  return {
    ...commonWork(request),
    prompt: typeof request.prompt === 'string' ? request.prompt : request.prompt[0]!,
    maxTokens: request.max_tokens ?? defaultMaxTokens,
    format: 'completion'
  }
}

/** What an ended generation reports. */
export interface GenerationEnd {
  finishReason: 'stop' | 'length'
  promptTokens: number
  completionTokens: number
}

/** Builds the parts of an answer for one request. */
export class AnswerFormat {
  private readonly head
  /** What surrounds the text of a token, which is all that differs between tokens. */
  private readonly tokenStart: string
  private readonly tokenEnd: string

  constructor (private readonly work: InferenceWork, requestId: string, createdAtMs: number) {
    this.head = {
      id: work.format === 'chat' ? `chatcmpl-${requestId}` : `cmpl-${requestId}`,
      created: Math.floor(createdAtMs / 1000),
      model: work.requestedModel
    }
    const mark = 'TEXT'
    const choice = work.format === 'chat'
      ? { index: 0, delta: { content: mark }, logprobs: null, finish_reason: null }
      : { index: 0, text: mark, logprobs: null, finish_reason: null }
    const event = this.event([choice])
    // The choices come last, so no name of a model can be taken for the mark.
    const at = event.lastIndexOf(`"${mark}"`)
    this.tokenStart = event.slice(0, at)
    this.tokenEnd = event.slice(at + mark.length + 2)
  }

  /** The whole answer as JSON. */
  whole (text: string, end: GenerationEnd): string {
    const choice = this.work.format === 'chat'
      ? { index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: end.finishReason }
      : { index: 0, text, logprobs: null, finish_reason: end.finishReason }
    const object = this.work.format === 'chat' ? 'chat.completion' : 'text_completion'
    return JSON.stringify({ ...this.head, object, choices: [choice], usage: usageOf(end) })
  }

  /** One SSE event with a token. */
  token (text: string, isFirst: boolean): string {
    if (isFirst && this.work.format === 'chat') {
      return this.event([{ index: 0, delta: { role: 'assistant', content: text }, logprobs: null, finish_reason: null }])
    }
    return this.tokenStart + JSON.stringify(text) + this.tokenEnd
  }

  /** The SSE events that end a complete stream. */
  end (end: GenerationEnd): string {
    const choice = this.work.format === 'chat'
      ? { index: 0, delta: {}, logprobs: null, finish_reason: end.finishReason }
      : { index: 0, text: '', logprobs: null, finish_reason: end.finishReason }
    const usage = this.work.includeUsage ? this.event([], usageOf(end)) : ''
    return `${this.event([choice])}${usage}data: [DONE]\n\n`
  }

  private event (choices: unknown[], usage?: unknown): string {
    const object = this.work.format === 'chat' ? 'chat.completion.chunk' : 'text_completion'
    return `data: ${JSON.stringify({ ...this.head, object, choices, ...(usage ? { usage } : {}) })}\n\n`
  }
}

function usageOf (end: GenerationEnd): Record<string, number> {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens
  }
}
