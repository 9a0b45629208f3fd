/** Starts and stops child processes for the demo and for tests that need real processes. */

import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { ChildProcess } from 'node:child_process'

const startTimeoutMs = 20_000

/** A running child process. */
export interface RunningProcess {
  name: string
  process: ChildProcess
  /** What the process printed when it was ready. */
  ready: Record<string, unknown>
  /** Sends `signal` and waits for the end of the process. Resolves with the exit code, `null` if a signal ended it. */
  stop (signal?: NodeJS.Signals): Promise<number | null>
}

/** Path of a compiled script next to this package's sources, such as `cli/main.js`. */
export function scriptPath (relativePath: string): string {
  return fileURLToPath(new URL(`../${relativePath}`, import.meta.url))
}

/** Starts `script` and waits for the first line for which `readReady` returns something. */
export function startProcess (
  name: string,
  script: string,
  args: readonly string[],
  { readReady, onLine = () => {}, execArgs = [] }: { readReady: (line: Record<string, unknown>) => Record<string, unknown> | undefined, onLine?: (line: string) => void, execArgs?: readonly string[] }
): Promise<RunningProcess> {
  const child = spawn(process.execPath, [...execArgs, script, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const ended = new Promise<number | null>(resolve => child.once('exit', code => resolve(code)))
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL')
      reject(new Error(`process ${name} was not ready within ${startTimeoutMs} ms`))
    }, startTimeoutMs)
    const lastLines: string[] = []
    const read = (line: string) => {
      onLine(line)
      lastLines.push(line)
      if (lastLines.length > 20) lastLines.shift()
      const ready = readReady(parseLine(line))
      if (!ready) return
      clearTimeout(timer)
      const stop = (signal: NodeJS.Signals = 'SIGTERM') => {
        child.kill(signal)
        return ended
      }
      resolve({ name, process: child, ready, stop })
    }
    for (const stream of [child.stdout, child.stderr]) createInterface({ input: stream }).on('line', read)
    void ended.then(code => {
      clearTimeout(timer)
      reject(new Error(`process ${name} ended with code ${code}:\n${lastLines.join('\n')}`))
    })
  })
}

function parseLine (line: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(line)
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
  } catch {
    return {}
  }
}
