/** Logs as JSON lines. */

import { createConsola } from 'consola'

export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Values of a log line. Secrets must not be passed. */
export type LogFields = Record<string, unknown>

/** Writes one line for each call. `event` is a short constant name; everything variable goes into `fields`. */
export type Log = (level: LogLevel, event: string, fields?: LogFields) => void

const consolaLevels: Record<LogLevel, number> = { error: 0, warn: 1, info: 3, debug: 4 }

/** A log that writes JSON lines to `write`, with `base` in each line. */
export function createLog (
  base: LogFields,
  { level = 'info', write = line => { process.stderr.write(line) } }: { level?: LogLevel, write?: (line: string) => void } = {}
): Log {
  const consola = createConsola({
    level: consolaLevels[level],
    reporters: [{
      log: entry => {
        const [event, fields] = entry.args as [string, LogFields | undefined]
        write(`${JSON.stringify({ time: entry.date.toISOString(), level: entry.type, event, ...base, ...fields })}\n`)
      }
    }]
  })
  return (lineLevel, event, fields) => consola[lineLevel](event, fields)
}

/** A log that writes nothing. */
export const silentLog: Log = () => {}
