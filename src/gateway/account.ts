/** The outermost filter: turns errors into problems, and records what the caller was told. */

import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { BurnRecorder } from './burn.js'
import type { Exchange, Filter } from './exchange.js'
import { CallerGoneError } from './inference.js'
import { ProblemError, problemResponse } from './problem.js'

type Result = 'complete' | 'not-run' | 'failed' | 'unknown'

/** Called once for each request when its last byte was handed over, or when it failed. */
export type OnFinished = (exchange: Exchange, finished: { status: number, result: Result }) => void

/** Answers whatever the other filters throw. */
export function accountFilter (log: Log, burn: BurnRecorder, onFinished: OnFinished): Filter {
  const finish = (exchange: Exchange, status: number, result: Result, detail: string) => {
    exchange.trace.told = `${status} ${result}`
    exchange.trace.add('told', `status ${status}, ${result}${detail ? `: ${detail}` : ''}`)
    const { work, terms, customer } = exchange
    let cause
    if (terms && customer && work && work.kind !== 'list-models') {
      const model = work.kind === 'inference' ? work.requestedModel : work.service
      cause = exchange.measure.missedBy(terms, result, work.kind === 'inference' && work.stream)
      burn.record({ rank: terms.rank, customer, model }, cause)
    }
    log(result === 'complete' ? 'debug' : 'info', 'request', {
      requestId: exchange.requestId, customer, rank: terms?.rank, status, result, cause, steps: exchange.trace.steps
    })
    onFinished(exchange, { status, result })
  }

  return async (exchange, next) => {
    try {
      await next()
    } catch (error) {
      const problem = toProblem(error, exchange, log)
      exchange.response = problemResponse(problem, exchange.requestId)
      finish(exchange, problem.status, problem.outcome, `${problem.code}: ${problem.detail}`)
      return
    }
    const response = exchange.response!
    const { status, body } = response
    if (body instanceof Uint8Array) return finish(exchange, status, 'complete', '')
    response.body = (async function * () {
      let result: Result = 'unknown'
      let detail = 'the caller stopped reading'
      try {
        yield * body
        result = 'complete'
        detail = ''
      } catch (error) {
        detail = messageOf(error)
        if (error instanceof ProblemError) result = error.outcome
        throw error
      } finally {
        finish(exchange, status, result, detail)
      }
    })()
  }
}

function toProblem (error: unknown, exchange: Exchange, log: Log): ProblemError {
  if (error instanceof ProblemError) return error
  // Nobody reads this answer; 499 only shows in logs and traces.
  if (error instanceof CallerGoneError) return new ProblemError(499, 'deadline', 'unknown', error.message)
  log('error', 'internal error', { requestId: exchange.requestId, error: messageOf(error), stack: error instanceof Error ? error.stack : undefined })
  return new ProblemError(500, 'internal', 'unknown', 'see the log of the node')
}
