// Checks that names of the users' platform stay in src/platform/: everything else uses the product's words.
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join, relative, resolve } from 'node:path'

const rootDir = resolve(import.meta.dirname, '..')
const platformNames = [
  'x-attempt-id', 'x-server-stamp', 'x-deadline-ms', 'x-prompt-prefix', 'x-token-count', 'x-length-hint', 'x-not-executed', 'x-expect-instance',
  'x-instance-id', 'server-leaving', 'x-request-urgency', 'x-weight-versions', 'x-kv-backup', 'kv-txn', 'kv-watch', 'kv-range', 'kv-lease', 'kv-keep', 'op/config',
  'servers/', 'path_prefix', 'max_conns', 'goal_ms', 'loads_per_s', 'fence_required', 'TEASELRILL_NODE_FILE', 'x-api-key', 'x-tenant', "'resumes'"
]

function sourceFiles (dir) {
  return readdirSync(dir).flatMap(name => {
    const path = join(dir, name)
    if (statSync(path).isDirectory()) return sourceFiles(path)
    return path.endsWith('.ts') ? [path] : []
  })
}

const findings = sourceFiles(join(rootDir, 'src'))
  .filter(path => !relative(rootDir, path).startsWith(join('src', 'platform')))
  .flatMap(path => readFileSync(path, 'utf8').split('\n').flatMap((line, index) => platformNames
    .filter(name => line.toLowerCase().includes(name.toLowerCase()))
    .map(name => `${relative(rootDir, path)}:${index + 1}: "${name}" belongs to src/platform/`)))
for (const finding of findings) console.error(finding)
process.exitCode = findings.length > 0 ? 1 : 0
