// Checks that each folder under src/ and tests/ imports only from the folders listed in its DEPS.list.
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { dirname, join, relative, resolve, sep } from 'node:path'

const rootDir = resolve(import.meta.dirname, '..')
const importPattern = /(?:from|import)\s*\(?\s*'(\.[^']+)'/g

function sourceFiles (dir) {
  return readdirSync(dir).flatMap(name => {
    const path = join(dir, name)
    if (statSync(path).isDirectory()) return sourceFiles(path)
    return path.endsWith('.ts') ? [path] : []
  })
}

function folderOf (path) {
  const parts = relative(rootDir, path).split(sep)
  return parts[0] === 'src' ? parts[1] : parts[0]
}

function allowedFolders (dir) {
  const listPath = join(dir, 'DEPS.list')
  if (!existsSync(listPath)) return undefined
  return readFileSync(listPath, 'utf8').split('\n').map(line => line.trim()).filter(Boolean)
}

const folders = readdirSync(join(rootDir, 'src')).map(name => join(rootDir, 'src', name))
  .filter(path => statSync(path).isDirectory())
const findings = []
for (const folder of [...folders, join(rootDir, 'tests')]) {
  const allowed = allowedFolders(folder)
  if (!allowed) {
    findings.push(`${relative(rootDir, folder)}: DEPS.list is missing`)
    continue
  }
  if (allowed.includes('*')) continue
  for (const file of sourceFiles(folder)) {
    for (const match of readFileSync(file, 'utf8').matchAll(importPattern)) {
      const target = folderOf(resolve(dirname(file), match[1]))
      if (target !== folderOf(file) && !allowed.includes(target)) {
        findings.push(`${relative(rootDir, file)}: imports from ${target}, allowed: ${allowed.join(', ') || 'none'}`)
      }
    }
  }
}
for (const finding of findings) console.error(finding)
process.exitCode = findings.length > 0 ? 1 : 0
