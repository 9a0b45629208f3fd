/** Accounts of the configuration in force, by name. */

import type { Account, Deployment } from './deployment.js'

export class AccountIndex {
  private accounts: readonly Account[] | undefined
  private byName: ReadonlyMap<string, Account> = new Map()

  constructor (private readonly deployment: () => Deployment | undefined) {}

  /** The first account of the name. */
  get (name: string): Account | undefined {
    const accounts = this.deployment()?.accounts
    if (this.accounts !== accounts) {
      this.accounts = accounts
      this.byName = new Map([...accounts ?? []].reverse().map(account => [account.name, account]))
    }
    return this.byName.get(name)
  }
}
