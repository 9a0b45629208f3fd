/** Reads INI text and keeps the line of each section and key, which findings need. */

import type { Finding } from '../base/findings.js'

export interface IniEntry {
  key: string
  value: string
  /** 1-based. */
  line: number
}

export interface IniSection {
  name: string
  /** 1-based. */
  line: number
  entries: IniEntry[]
}

export interface IniDocument {
  file: string
  sections: IniSection[]
  findings: Finding[]
}

/**
 * Reads `[section]` and `key = value` lines. Lines that start with `;` or `#` are comments; text after a value
 * belongs to the value. Of a section or key that occurs twice, the first one is kept. Never throws. Findings contain
 * neither values nor the text of malformed lines, since these may be secrets.
 */
export function parseIni (text: string, { file }: { file: string }): IniDocument {
  const document: IniDocument = { file, sections: [], findings: [] }
  const sectionNames = new Map<string, number>()
  let section: IniSection | undefined
  let keyLines = new Map<string, number>()

  const report = (line: number, key: string, found: string, allowed: string) => {
    document.findings.push({ file, line, key, severity: 'error', found, allowed })
  }
  const openSection = (name: string, line: number) => {
    section = { name, line, entries: [] }
    keyLines = new Map()
    const earlierLine = sectionNames.get(name)
    if (earlierLine !== undefined) {
      // The entries of the duplicate are still read, so that mistakes in their syntax are reported too.
      report(line, name, `duplicate section, first defined in line ${earlierLine}`, 'one section of each name')
      return
    }
    sectionNames.set(name, line)
    document.sections.push(section)
  }
  const addEntry = (content: string, line: number) => {
    const equals = content.indexOf('=')
    const place = section?.name ?? '(start)'
    if (equals < 0) return report(line, place, 'a line without "="', '[section], key = value, or a comment after ; or #')
    const key = content.slice(0, equals).trim()
    if (key === '') return report(line, place, 'no key before "="', 'key = value')
    if (!section) return report(line, place, 'a key before the first section', 'keys below a [section]')
    const earlierLine = keyLines.get(key)
    if (earlierLine !== undefined) {
      return report(line, `${section.name}.${key}`, `duplicate key, first set in line ${earlierLine}`, 'each key once in a section')
    }
    keyLines.set(key, line)
    section.entries.push({ key, value: content.slice(equals + 1).trim(), line })
  }

  for (const [index, rawLine] of text.replace(/^\uFEFF/, '').split(/\r\n|\n|\r/).entries()) {
    const line = index + 1
    const content = rawLine.trim()
    if (content === '' || content.startsWith(';') || content.startsWith('#')) continue
    if (!content.startsWith('[')) {
      addEntry(content, line)
      continue
    }
    const name = content.endsWith(']') ? content.slice(1, -1).trim() : ''
    if (name !== '') {
      openSection(name, line)
      continue
    }
    report(line, '(section)', 'a malformed section line', '[section] or [kind.NAME]')
    // Keys below a malformed section line must not be read as keys of the section before it.
    section = { name: '(section)', line, entries: [] }
    keyLines = new Map()
  }
  return document
}
