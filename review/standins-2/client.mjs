/** Sends one request as a client does, each on a new connection, and reads its answer. */

import { request as httpRequest } from 'node:http'

let nextId = 1
const idPrefix = Math.floor(Math.random() * 2 ** 32).toString(16)

/** Resolves with the status, the text, whether the answer is complete, and the number of stream events. Never rejects. */
export function send (ip, { method = 'POST', path, host, headers = {}, body = '', deadlineMs, id = `${idPrefix}${(nextId++).toString(16).padStart(8, '0')}` }) {
  return new Promise(resolve => {
    const sentAtMs = performance.now()
    const answer = { id, status: undefined, text: '', isComplete: false, events: 0 }
    const finish = () => {
      clearTimeout(timer)
      answer.tookMs = Math.round(performance.now() - sentAtMs)
      answer.events = (answer.text.match(/^id: \d+$/gm) ?? []).length
      resolve(answer)
    }
    const request = httpRequest({
      host: ip,
      port: 8149,
      method,
      path,
      agent: false,
      headers: { Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMs), 'Content-Length': String(Buffer.byteLength(body)), ...headers }
    }, response => {
      answer.status = response.statusCode
      answer.headers = response.headers
      response.setEncoding('utf8')
      response.on('data', text => { answer.text += text })
      response.on('close', () => {
        answer.isComplete = response.complete && answer.error === undefined
        finish()
      })
    })
    const timer = setTimeout(() => request.destroy(), deadlineMs + 500)
    request.on('error', error => {
      answer.error = error.code ?? error.message
      if (answer.status === undefined) finish()
    })
    request.end(body)
  })
}
