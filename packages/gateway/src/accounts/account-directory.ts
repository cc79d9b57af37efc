/** Finds the client account that holds a key. */

import {Buffer} from 'node:buffer';
import type {Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {ClientAccount, ClientAccountName} from '../plan/client-account.js';
import {getKeyDigest} from './get-key-digest.js';

/** The client accounts of one plan, indexed by the digests of their keys. */
export class AccountDirectory {
	readonly #accountsByName = new Map<ClientAccountName, ClientAccount>();
	readonly #accountsByDigest = new Map<Digest, ClientAccount>();

	/**
	 * Builds a directory in one step.
	 *
	 * @param accounts - The accounts.
	 * @returns The directory.
	 * @throws Error if an account is listed twice or two accounts hold the same key.
	 */
	static fromOrThrow(accounts: readonly ClientAccount[]): AccountDirectory {
		const directory = new AccountDirectory();
		for (const account of accounts) {
			directory.add(account).unwrap();
		}

		return directory;
	}

	/** Gets the accounts in the order in which they were added. */
	get accounts(): readonly ClientAccount[] {
		return [...this.#accountsByName.values()];
	}

	/** Gets the number of accounts. */
	get accountCount(): number {
		return this.#accountsByName.size;
	}

	/** Gets the number of distinct keys of all accounts. */
	get keyCount(): number {
		return this.#accountsByDigest.size;
	}

	/**
	 * Adds an account; called only until the plan is in force.
	 *
	 * @param account - The account.
	 * @returns Nothing, or an error message that names the accounts in conflict, but no key. The directory is unusable then.
	 */
	add(account: ClientAccount): Result<void, string> {
		const {name, keyDigests} = account;
		if (this.#accountsByName.has(name)) {
			return Err(`account ${JSON.stringify(name)} is listed twice`);
		}

		this.#accountsByName.set(name, account);
		for (const digest of keyDigests) {
			const holder = this.#accountsByDigest.get(digest) ?? account;
			if (holder !== account) {
				return Err(
					`accounts ${JSON.stringify(holder.name)} and ${JSON.stringify(name)} hold the same key`,
				);
			}

			this.#accountsByDigest.set(digest, account);
		}

		return Ok.EMPTY;
	}

	/**
	 * Finds the account that holds a key.
	 *
	 * @param key - The value of the header, one character for each byte received.
	 * @returns The account; undefined if none holds the key.
	 */
	findByKey(key: string): ClientAccount | undefined {
		return this.#accountsByDigest.get(getKeyDigest(Buffer.from(key, 'latin1')));
	}
}
